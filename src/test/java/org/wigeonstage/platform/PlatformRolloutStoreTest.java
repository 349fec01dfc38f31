package org.wigeonstage.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.io.Closer;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.HttpClient;
import org.wigeonstage.platform.standin.StoreStandin;
import org.wigeonstage.rollout.RolloutOrder;
import org.wigeonstage.rollout.RolloutState;
import org.wigeonstage.rollout.RolloutStore;
import org.wigeonstage.store.StoreException;

class PlatformRolloutStoreTest {

  private static final Duration WAIT = Duration.ofMillis(300);
  private static final String ORDER =
      "{\"service\": \"engines\", \"target\": \"v2\", \"duration_s\": 12}";

  private final Closer closer = Closer.create();
  private final StoreStandin standin =
      closer.register(StoreStandin.start(new Endpoint("127.0.0.1", 0)));
  private final RolloutStore store =
      new PlatformAdapter(closer.register(HttpClient.start("test", 1)), standin.endpoint())
          .rolloutStore();

  @AfterEach
  void close() throws IOException {
    closer.close();
  }

  private RolloutOrder readOnly() {
    List<RolloutOrder> orders = store.awaitOrders(WAIT);
    assertThat(orders).hasSize(1);
    return orders.get(0);
  }

  /** Guards against an order that is misread, or whose state is not found again. */
  @Test
  void writesStateThatTheWatchReports() {
    standin.writeRaw("rollouts", "engines", ORDER);
    RolloutOrder order = readOnly();
    assertThat(order)
        .isEqualTo(
            new RolloutOrder(
                "engines",
                "engines",
                "v2",
                Duration.ofSeconds(12),
                order.version(),
                RolloutState.REQUESTED));
    RolloutOrder written = store.writeState(order, RolloutState.ROLLED_BACK);
    assertThat(written.state()).isEqualTo(RolloutState.ROLLED_BACK);
    assertThat(written.version().isAfter(order.version())).isTrue();
    assertThat(readOnly()).isEqualTo(written);
  }

  /** Guards against a write that is based on an order that was replaced meanwhile. */
  @Test
  void returnsOtherOrderInsteadOfWriting() {
    standin.writeRaw("rollouts", "engines", ORDER);
    RolloutOrder order = readOnly();
    standin.writeRaw("rollouts", "engines", ORDER.replace("v2", "v3"));
    RolloutOrder current = store.writeState(order, RolloutState.COMPLETED);
    assertThat(current.target()).isEqualTo("v3");
    assertThat(current.state()).isEqualTo(RolloutState.REQUESTED);
    assertThat(standin.statusWrites()).isEmpty();
  }

  /** Guards against a write whose lost response leaves the decider without the result. */
  @Test
  void writeWithLostResponseShowsItsEffectWhenRepeated() {
    standin.writeRaw("rollouts", "engines", ORDER);
    RolloutOrder order = readOnly();
    standin.setLosesResponses(true);
    assertThatThrownBy(() -> store.writeState(order, RolloutState.ACTIVE))
        .isInstanceOf(WigeonstageException.class);
    standin.setLosesResponses(false);
    assertThat(store.writeState(order, RolloutState.ACTIVE).state()).isEqualTo(RolloutState.ACTIVE);
    assertThat(standin.statusWrites()).containsExactly("active");
  }

  /** Guards against a write to a revision that the restored store has assigned to another order. */
  @Test
  void writeBasedOnAnEarlierEraIsNotRepeatedBlindly() {
    StoreStandin.Copy copy = standin.copy();
    standin.writeRaw("rollouts", "engines", ORDER);
    RolloutOrder order = readOnly();
    standin.restore(copy);
    standin.writeRaw("rollouts", "engines", ORDER.replace("v2", "v3"));
    assertThatThrownBy(() -> store.writeState(order, RolloutState.COMPLETED))
        .isInstanceOfSatisfying(
            StoreException.class, e -> assertThat(e.code()).isEqualTo(ErrorCode.WRITE_UNDECIDED));
    assertThatThrownBy(() -> store.writeState(order, RolloutState.COMPLETED))
        .hasMessageContaining("read before the store was restored");
    assertThat(standin.statusWrites()).hasSize(1);
  }

  /** Guards against a roll-out that is undone because the store has lost its state. */
  @Test
  void stateThatARestoredStoreHasLostIsWrittenAgain() {
    standin.writeRaw("rollouts", "engines", ORDER);
    StoreStandin.Copy copy = standin.copy();
    store.writeState(readOnly(), RolloutState.COMPLETED);
    standin.restore(copy);
    assertThat(readOnly().state()).isEqualTo(RolloutState.COMPLETED);
    RolloutOrder current = readOnly();
    assertThat(current.state()).isEqualTo(RolloutState.COMPLETED);
    assertThat(current.version().era()).isEqualTo(1);
    assertThat(standin.statusWrites()).containsExactly("completed", "completed");
  }

  /** Guards against the state of an earlier order that ends the next one. */
  @Test
  void stateOfEarlierTargetDoesNotCount() {
    standin.writeRaw("rollouts", "engines", ORDER);
    store.writeState(readOnly(), RolloutState.COMPLETED);
    standin.writeRaw("rollouts", "engines", ORDER.replace("v2", "v3"));
    assertThat(readOnly().state()).isEqualTo(RolloutState.REQUESTED);
  }

  /** Guards against an entry that blocks the others, or replaces a sound order by none. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "{\"service\": \"engines\", \"target\": \"v2\", \"duration_s\": 0}",
        "{\"service\": \"engines\", \"target\": \"v2\", \"duration_s\": \"12\"}",
        "{\"service\": \"engines\", \"target\": \"\", \"duration_s\": 12}",
        "{\"service\": 7, \"target\": \"v2\", \"duration_s\": 12}",
        "[]",
        "nonsense"
      })
  void ignoresUnreadableOrder(String unreadable) {
    standin.writeRaw("rollouts", "engines", ORDER);
    RolloutOrder sound = readOnly();
    standin.writeRaw("rollouts", "another", unreadable);
    assertThat(store.awaitOrders(WAIT)).containsExactly(sound);
    standin.writeRaw("rollouts", "engines", unreadable);
    assertThat(store.awaitOrders(WAIT)).containsExactly(sound);
  }

  /** Guards against a fault that does not tell the operator what is allowed. */
  @Test
  void faultNamesFieldAndRange() {
    RegistrationFields fields =
        new RegistrationFields(JsonNodeFactory.instance.objectNode().put("duration_s", 0));
    assertThatThrownBy(() -> fields.number("duration_s", 0.1, 86_400))
        .hasMessage("duration_s must be a number from 0.1 to 86400.0");
  }
}
