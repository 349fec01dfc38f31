package org.wigeonstage.orders;

import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * Tells whether this incarnation of an agent may give orders to its backend server.
 *
 * <p>A hold lasts from the moment at which a read that confirmed the registration was begun. A
 * successor's registration ends all later confirmations, so that no hold of its predecessors lasts
 * longer than the hold's length after it. Against backend servers that do not check fencing numbers
 * a successor waits for that, and for a margin. Times are those of a monotonic clock.
 */
public final class FencingLease {

  /** How long a confirmation lasts. */
  public static final Duration LENGTH = Duration.ofSeconds(10);

  /** What a successor waits beyond the longest hold of its predecessor. */
  public static final Duration MARGIN = Duration.ofSeconds(5);

  private final boolean waitsForPredecessor;
  private @Nullable Duration registeredAt;
  private @Nullable Duration confirmedAt;
  private boolean hadPredecessor = true;

  /**
   * Creates a hold without a registration.
   *
   * @param backendServerChecks whether the backend server refuses old fencing numbers
   */
  public FencingLease(boolean backendServerChecks) {
    this.waitsForPredecessor = !backendServerChecks;
  }

  /**
   * Notes that the registration has taken effect.
   *
   * @param at when the platform's answer came
   * @param predecessor whether there was an earlier incarnation
   */
  public void registered(Duration at, boolean predecessor) {
    registeredAt = at;
    hadPredecessor = predecessor;
  }

  /**
   * Notes that a read of the registration showed this incarnation.
   *
   * @param readBegunAt when the read was begun
   */
  public void confirmed(Duration readBegunAt) {
    confirmedAt = readBegunAt;
  }

  /** Notes that another incarnation has registered. */
  public void lost() {
    registeredAt = null;
    confirmedAt = null;
  }

  /**
   * Tells whether an order may be given now. To be asked right before each order.
   *
   * @param now the current time
   * @return whether the hold is in force
   */
  public boolean isInForce(Duration now) {
    Duration registration = registeredAt;
    Duration confirmation = confirmedAt;
    if (registration == null || confirmation == null) {
      return false;
    }
    boolean confirmedLately = now.compareTo(confirmation.plus(LENGTH)) < 0;
    return confirmedLately && !mustWait(registration, now);
  }

  private boolean mustWait(Duration registration, Duration now) {
    return waitsForPredecessor
        && hadPredecessor
        && now.compareTo(registration.plus(LENGTH).plus(MARGIN)) < 0;
  }
}
