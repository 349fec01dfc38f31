package org.wigeonstage.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.fleet.StoreVersion;
import org.wigeonstage.rollout.RolloutOrder;
import org.wigeonstage.rollout.RolloutState;
import org.wigeonstage.rollout.RolloutStore;

/**
 * Reads roll-out orders from the platform's store, and writes their states there.
 *
 * <p>An order that is overwritten by one that can't be read stays in force, so that a mistake in it
 * does not open the way to a version that was rolled back.
 */
final class PlatformRolloutStore implements RolloutStore {

  private static final double MIN_DURATION_SECONDS = 0.1;
  private static final double MAX_DURATION_SECONDS = 86_400;
  private static final double MILLIS_PER_SECOND = 1000;
  private static final Map<String, RolloutState> STATES =
      Map.of(
          "active",
          RolloutState.ACTIVE,
          "completed",
          RolloutState.COMPLETED,
          "rolled_back",
          RolloutState.ROLLED_BACK);

  private final PlatformStoreClient client;
  private final WatchedObjects objects;
  private final EntryDecoder decoder = new EntryDecoder(ObjectKind.ROLLOUTS.name());
  private Map<String, RolloutOrder> ordersByName = Map.of();

  PlatformRolloutStore(PlatformStoreClient client) {
    this.client = client;
    this.objects = new WatchedObjects(client, ObjectKind.ROLLOUTS);
  }

  @Override
  public List<RolloutOrder> awaitOrders(Duration maxWait) {
    objects.await(maxWait);
    List<StoreObject> listed = objects.objects();
    Map<String, RolloutOrder> previous = ordersByName;
    Map<String, RolloutOrder> current = new HashMap<>();
    for (StoreObject object : listed) {
      RolloutOrder known = previous.get(object.name());
      if (known != null) {
        current.put(object.name(), known);
      }
    }
    decoder
        .decode(
            listed,
            (name, spec) -> decode(objects.object(name).orElseThrow(), objects.version().era()))
        .forEach(order -> current.put(order.name(), order));
    ordersByName = current;
    return new ArrayList<>(current.values());
  }

  private static RolloutOrder decode(StoreObject object, long era) {
    RegistrationFields fields = new RegistrationFields(object.spec());
    String target = fields.text("target");
    if (target.isEmpty()) {
      throw RegistrationFields.invalid("target");
    }
    double seconds = fields.number("duration_s", MIN_DURATION_SECONDS, MAX_DURATION_SECONDS);
    return new RolloutOrder(
        object.name(),
        fields.text("service"),
        target,
        Duration.ofMillis((long) (seconds * MILLIS_PER_SECOND)),
        new StoreVersion(era, object.revision()),
        stateOf(object.status(), target));
  }

  /** Returns the state; a status about another target belongs to an earlier order. */
  private static RolloutState stateOf(JsonNode status, String target) {
    boolean isOfTarget = status.path("target").asText().equals(target);
    return isOfTarget
        ? STATES.getOrDefault(status.path("state").asText(), RolloutState.REQUESTED)
        : RolloutState.REQUESTED;
  }

  @Override
  public RolloutOrder writeState(RolloutOrder order, RolloutState state) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.putObject("metadata")
        .put("name", order.name())
        .put("revision", order.version().revision());
    body.putObject("status").put("state", nameOf(state)).put("target", order.target());
    long era = order.version().era();
    return decode(client.putStatus(ObjectKind.ROLLOUTS, order.name(), body, era), era);
  }

  private static String nameOf(RolloutState state) {
    return STATES.entrySet().stream()
        .filter(entry -> entry.getValue() == state)
        .map(Map.Entry::getKey)
        .findFirst()
        .orElseThrow(
            () -> new WigeonstageException(ErrorCode.BAD_REQUEST, state + " can't be written"));
  }
}
