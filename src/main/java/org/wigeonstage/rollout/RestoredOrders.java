package org.wigeonstage.rollout;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.wigeonstage.fleet.StoreVersion;

/**
 * Retains what is known about roll-out orders when the store is restored from a copy, until it is
 * written again.
 *
 * <p>A restored store may lack orders and states that were written after the copy was taken. An
 * order with a known target retains its state, which is to be written again. An order that is
 * missing, or has another target, may have been lost: the known one is retained until its object is
 * written, or for a limited time, because the operator may also have removed or replaced it.
 *
 * <p>Not thread-safe.
 */
public final class RestoredOrders {

  /**
   * How long an order is retained that is not written again. A new order that is written between
   * the restore and the first list waits as long, out of the few seconds that it has.
   */
  public static final Duration RETENTION_TIME = Duration.ofMillis(1500);

  private final Map<String, RolloutOrder> known = new HashMap<>();
  private final Map<String, RolloutState> lostStatesByName = new HashMap<>();
  private final Map<String, StoreVersion> firstVersions = new HashMap<>();
  private long era;
  private Duration restoredAt = Duration.ZERO;

  /**
   * The state of an order that the store has lost.
   *
   * @param stored the order as the store has it
   * @param state the state to write
   */
  public record LostState(RolloutOrder stored, RolloutState state) {}

  /**
   * The result of a list.
   *
   * @param orders the orders to use
   * @param lostStates the states to write again
   */
  public record Result(List<RolloutOrder> orders, List<LostState> lostStates) {

    /** Copies the lists. */
    public Result {
      orders = List.copyOf(orders);
      lostStates = List.copyOf(lostStates);
    }
  }

  /**
   * Applies the orders that the store lists.
   *
   * @param listed the orders
   * @param listEra the era of the list
   * @param now the current time
   * @return the orders to use, and what has to be written again
   */
  public Result apply(List<RolloutOrder> listed, long listEra, Duration now) {
    Map<String, RolloutOrder> listedByName = new HashMap<>();
    listed.forEach(order -> listedByName.put(order.name(), order));
    if (listEra > era) {
      era = listEra;
      restoredAt = now;
      firstVersions.clear();
      listed.forEach(order -> firstVersions.put(order.name(), order.version()));
    }
    List<LostState> lostStates = new ArrayList<>();
    TreeSet<String> names = new TreeSet<>(listedByName.keySet());
    names.addAll(known.keySet());
    for (String name : names) {
      RolloutOrder stored = listedByName.get(name);
      RolloutOrder before = known.get(name);
      boolean mayBeLost =
          before != null
              && before.version().era() < era
              && now.minus(restoredAt).compareTo(RETENTION_TIME) < 0;
      if (stored == null) {
        lostStatesByName.remove(name);
        if (!mayBeLost) {
          known.remove(name);
        }
      } else if (before != null && before.hasSameTarget(stored)) {
        RolloutState state = stateOf(before, stored);
        if (state != stored.state()) {
          lostStates.add(new LostState(stored, state));
        }
        known.put(name, stored.withState(state));
      } else if (!mayBeLost || !stored.version().equals(firstVersions.get(name))) {
        lostStatesByName.remove(name);
        known.put(name, stored);
      }
    }
    return new Result(
        names.stream().filter(known::containsKey).map(known::get).toList(), lostStates);
  }

  /** Returns the stored state, or the one that the store has lost and does not have again yet. */
  private RolloutState stateOf(RolloutOrder before, RolloutOrder stored) {
    if (stored.version().isOfLaterEraThan(before.version())) {
      lostStatesByName.put(stored.name(), before.state());
    }
    RolloutState lost = lostStatesByName.getOrDefault(stored.name(), stored.state());
    RolloutState state = furtherState(lost, stored.state());
    if (state == stored.state()) {
      lostStatesByName.remove(stored.name());
    }
    return state;
  }

  private static RolloutState furtherState(RolloutState before, RolloutState stored) {
    boolean isStoredOpen = stored == RolloutState.REQUESTED || stored == RolloutState.ACTIVE;
    return isStoredOpen && before.ordinal() > stored.ordinal() ? before : stored;
  }

  /**
   * Records an order that a write returned, unless a later one is known.
   *
   * @param written the order after the write
   */
  public void recordWrite(RolloutOrder written) {
    RolloutOrder before = known.get(written.name());
    if (before == null || written.version().isAfter(before.version())) {
      known.put(written.name(), written);
    }
  }

  /**
   * Returns the time of the first list of the current era.
   *
   * @return the time
   */
  public Duration restoredAt() {
    return restoredAt;
  }
}
