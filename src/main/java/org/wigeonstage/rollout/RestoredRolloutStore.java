package org.wigeonstage.rollout;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.fleet.StoreEra;
import org.wigeonstage.telemetry.DecisionLog;

/**
 * Writes states of roll-out orders again that a restored store has lost, and reports the orders as
 * they were known before. Each state is written again by the gateway that wrote it; the others do
 * so if the store still lacks it after {@link #OTHERS_DELAY}.
 */
public final class RestoredRolloutStore implements RolloutStore {

  /** Longer than a gateway needs to write its states again. */
  static final Duration OTHERS_DELAY = Duration.ofMillis(1500);

  private final RolloutStore delegate;
  private final StoreEra era;
  private final MonotonicClock clock;
  private final RestoredOrders orders = new RestoredOrders();
  private final Map<String, RolloutOrder> ownWrites = new HashMap<>();

  /**
   * Creates a store.
   *
   * @param delegate the store that makes the calls
   * @param era the highest era that was seen
   * @param clock the clock
   */
  public RestoredRolloutStore(RolloutStore delegate, StoreEra era, MonotonicClock clock) {
    this.delegate = delegate;
    this.era = era;
    this.clock = clock;
  }

  @Override
  public List<RolloutOrder> awaitOrders(Duration maxWait) {
    List<RolloutOrder> listed = delegate.awaitOrders(maxWait);
    // An empty list states no era; it is as recent as the call.
    long listEra =
        listed.stream().mapToLong(order -> order.version().era()).max().orElseGet(era::highest);
    RestoredOrders.Result result;
    synchronized (this) {
      result = orders.apply(listed, listEra, clock.elapsed());
    }
    result.lostStates().forEach(this::writeAgain);
    return result.orders();
  }

  private void writeAgain(RestoredOrders.LostState lost) {
    RolloutOrder stored = lost.stored();
    synchronized (this) {
      RolloutOrder own = ownWrites.get(stored.name());
      boolean isOwn = own != null && own.hasSameTarget(stored) && own.state() == lost.state();
      Duration sinceRestore = clock.elapsed().minus(orders.restoredAt());
      if (!isOwn && sinceRestore.compareTo(OTHERS_DELAY) < 0) {
        return;
      }
    }
    try {
      RolloutOrder written = writeState(stored, lost.state());
      DecisionLog.write(
          "rollout-state-written-again",
          "order",
          stored.name(),
          "state",
          written.state(),
          "era",
          written.version().era(),
          "revision",
          written.version().revision());
    } catch (WigeonstageException e) {
      DecisionLog.write(
          "rollout-state-not-written-again",
          "order",
          stored.name(),
          "error",
          String.valueOf(e.getMessage()));
    }
  }

  @Override
  public RolloutOrder writeState(RolloutOrder order, RolloutState state) {
    RolloutOrder written = delegate.writeState(order, state);
    synchronized (this) {
      if (written.hasSameTarget(order) && written.state() == state) {
        ownWrites.put(written.name(), written);
        orders.recordWrite(written);
      }
    }
    return written;
  }
}
