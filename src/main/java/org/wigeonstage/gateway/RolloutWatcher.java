package org.wigeonstage.gateway;

import java.io.Closeable;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import org.wigeonstage.common.ControlExecutors;
import org.wigeonstage.common.RepeatedTask;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.rollout.RolloutOrder;
import org.wigeonstage.rollout.RolloutState;
import org.wigeonstage.rollout.RolloutStore;
import org.wigeonstage.settings.RolloutSettings;
import org.wigeonstage.telemetry.DecisionLog;

/** Watches the roll-out orders in the store, and writes the states that are decided. */
final class RolloutWatcher implements Closeable {

  /**
   * The maximum time of a call. An order is reported at once; if a call is lost, the peers, whose
   * calls end at other times, tell of it.
   */
  private static final Duration WATCH_TIME = Duration.ofSeconds(4);

  /** Limits the rate of calls while changes follow each other quickly. */
  private static final Duration CALL_INTERVAL = Duration.ofMillis(50);

  /** Interval between two calls while the store is unreachable. */
  private static final Duration RETRY_INTERVAL = Duration.ofSeconds(1);

  private final RolloutStore store;
  private final GatewayCore core;
  private final ScheduledExecutorService readExecutor =
      ControlExecutors.newSingleThreadExecutor("rollout-reads");
  private final ScheduledExecutorService writeExecutor =
      ControlExecutors.newSingleThreadExecutor("rollout-writes");
  private boolean isReachable = true;

  RolloutWatcher(RolloutStore store, GatewayCore core, RolloutSettings settings) {
    this.store = store;
    this.core = core;
    core.withLock(() -> core.rollouts().enable(settings, this::startWrite));
  }

  void start() {
    RepeatedTask.start(
        readExecutor, "read of rollouts", Duration.ZERO, RETRY_INTERVAL, this::readOnce);
  }

  /** Makes one call, and returns the delay until the next one. */
  private Duration readOnce() {
    try {
      List<RolloutOrder> orders = store.awaitOrders(WATCH_TIME);
      core.withLock(() -> core.rollouts().applyOrders(orders, core.now()));
      isReachable = true;
      return CALL_INTERVAL;
    } catch (WigeonstageException e) {
      if (isReachable) {
        isReachable = false;
        DecisionLog.write(
            "watch-lost", "read", "rollouts", "error", String.valueOf(e.getMessage()));
      }
      return RETRY_INTERVAL;
    }
  }

  private void startWrite(RolloutOrder order, RolloutState state) {
    writeExecutor.execute(
        () -> RepeatedTask.runPart("write of a rollout", () -> write(order, state)));
  }

  private void write(RolloutOrder order, RolloutState state) {
    try {
      RolloutOrder current = store.writeState(order, state);
      DecisionLog.write(
          "rollout-written",
          "pool",
          order.pool(),
          "target",
          order.target(),
          "state",
          state.name(),
          "revision",
          current.version().revision(),
          "effective",
          current.state() == state && current.hasSameTarget(order));
      core.withLock(() -> core.rollouts().writeEnded(current, core.now()));
    } catch (WigeonstageException e) {
      DecisionLog.write(
          "rollout-not-written",
          "pool",
          order.pool(),
          "state",
          state.name(),
          "error",
          String.valueOf(e.getMessage()));
      core.withLock(() -> core.rollouts().writeFailed(order, core.now()));
    }
  }

  @Override
  public void close() {
    readExecutor.shutdownNow();
    writeExecutor.shutdownNow();
  }
}
