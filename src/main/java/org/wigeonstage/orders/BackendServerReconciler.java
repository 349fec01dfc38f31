package org.wigeonstage.orders;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wigeonstage.common.Json;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.config.PoolSpec;
import org.wigeonstage.http.BlockingCall;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.HttpClient;
import org.wigeonstage.http.HttpResponse;
import org.wigeonstage.membership.AgentRegistration;
import org.wigeonstage.request.HttpCall;
import org.wigeonstage.store.ObjectStore;
import org.wigeonstage.store.StoredObject;

/** Brings one backend server to the state that its pool's document asks for. Methods block. */
public final class BackendServerReconciler {

  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
  private static final int OK = 200;

  private final String agent;
  private final long incarnation;
  private final HttpClient client;
  private final Endpoint backendServer;
  private final ObjectStore store;
  private final LoadSlots slots;
  private final MonotonicClock clock;
  private final MetricRegistry metrics;

  /**
   * Creates a carrier.
   *
   * @param agent the agent's name
   * @param incarnation the agent's incarnation, which is the fencing number
   * @param client calls the backend server
   * @param backendServer the backend server's address
   * @param store the platform's object API
   * @param slots bounds loads from the weight store
   * @param clock the clock for holds
   * @param metrics where orders are counted
   */
  public BackendServerReconciler(
      String agent,
      long incarnation,
      HttpClient client,
      Endpoint backendServer,
      ObjectStore store,
      LoadSlots slots,
      MonotonicClock clock,
      MetricRegistry metrics) {
    this.agent = agent;
    this.incarnation = incarnation;
    this.client = client;
    this.backendServer = backendServer;
    this.store = store;
    this.slots = slots;
    this.clock = clock;
    this.metrics = metrics;
  }

  /**
   * Confirms the hold and gives the orders that are missing.
   *
   * @param pool the pool's definition
   * @param hold this incarnation's hold
   * @throws WigeonstageException where the platform or the backend server can't be reached
   */
  public void reconcile(PoolSpec pool, FencingLease hold) {
    if (pool.loads().isEmpty()) {
      return;
    }
    confirm(hold);
    List<Order> orders = OrderPlanner.plan(Set.copyOf(pool.loads()), loaded());
    for (Order order : orders) {
      if (!give(pool, hold, order)) {
        return;
      }
    }
  }

  private void confirm(FencingLease hold) {
    Duration begun = clock.elapsed();
    Optional<StoredObject> stored = store.get(AgentRegistration.KIND, agent);
    boolean isOwn =
        stored
            .map(object -> Json.read(object.value(), AgentRegistration.class))
            .filter(registration -> registration.incarnation() == incarnation)
            .isPresent();
    if (isOwn) {
      hold.confirmed(begun);
    } else {
      hold.lost();
    }
  }

  private Set<String> loaded() {
    HttpCall call = new HttpCall("GET", "/v1/load", null, new byte[0]);
    HttpResponse answer = BlockingCall.execute(client, backendServer, call, Map.of(), CALL_TIMEOUT);
    Set<String> loaded = new HashSet<>();
    for (JsonNode name : Json.parse(answer.text()).path("loaded")) {
      loaded.add(name.asText());
    }
    return loaded;
  }

  /** Gives an order; returns whether the next one may follow. */
  private boolean give(PoolSpec pool, FencingLease hold, Order order) {
    boolean isLoad = order.action() == Order.Action.LOAD;
    if (isLoad && !slots.tryTake(pool.name(), agent, pool.concurrentLoads())) {
      return false;
    }
    try {
      return send(hold, order);
    } finally {
      if (isLoad) {
        slots.release(pool.name(), agent);
      }
    }
  }

  private boolean send(FencingLease hold, Order order) {
    byte[] body =
        JsonNodeFactory.instance
            .objectNode()
            .put("fencingNumber", incarnation)
            .put("action", order.action().name().toLowerCase(Locale.ROOT))
            .put("target", order.target())
            .toString()
            .getBytes(StandardCharsets.UTF_8);
    HttpCall call = new HttpCall("POST", "/v1/orders", "application/json", body);
    if (!hold.isInForce(clock.elapsed())) {
      metrics.counter("orders.withheld").inc();
      return false;
    }
    HttpResponse answer = BlockingCall.execute(client, backendServer, call, Map.of(), CALL_TIMEOUT);
    boolean done = answer.status() == OK;
    metrics.counter(done ? "orders.done" : "orders.refused").inc();
    return done;
  }
}
