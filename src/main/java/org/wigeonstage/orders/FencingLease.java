package org.wigeonstage.orders;

import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * The lease under which one run of an agent, its incarnation, may send orders to its backend
 * server.
 *
 * <p>A lease starts when the agent begins to read its registration, provided that the read shows
 * this incarnation. After a successor has registered, no read confirms this incarnation any more,
 * so the lease ends at most {@link #DURATION} after that registration. If the backend server does
 * not check fencing numbers, the successor waits for that time plus {@link #TAKEOVER_MARGIN} before
 * its first order. All times are readings of a monotonic clock.
 */
public final class FencingLease {

  /** How long the lease lasts after a confirmation. */
  public static final Duration DURATION = Duration.ofSeconds(10);

  /** How long a successor waits after the lease of its predecessor must have ended. */
  public static final Duration TAKEOVER_MARGIN = Duration.ofSeconds(5);

  private final boolean waitsForPredecessor;
  private @Nullable Duration registeredAt;
  private @Nullable Duration confirmedAt;
  private boolean hadPredecessor = true;

  /**
   * Creates a lease that is not valid, because no registration exists yet.
   *
   * @param serverChecksFencing whether the backend server refuses orders with an old fencing number
   */
  public FencingLease(boolean serverChecksFencing) {
    this.waitsForPredecessor = !serverChecksFencing;
  }

  /**
   * Records that the registration of this incarnation has succeeded.
   *
   * @param at when the reply of the platform arrived
   * @param hasPredecessor whether an earlier incarnation was registered before
   */
  public void markRegistered(Duration at, boolean hasPredecessor) {
    registeredAt = at;
    hadPredecessor = hasPredecessor;
  }

  /**
   * Records that a read of the registration has shown this incarnation.
   *
   * @param readStartedAt when the read began
   */
  public void confirm(Duration readStartedAt) {
    confirmedAt = readStartedAt;
  }

  /** Ends the lease, because another incarnation has registered. */
  public void revoke() {
    registeredAt = null;
    confirmedAt = null;
  }

  /**
   * Returns whether an order may be sent now. Must be called immediately before each order.
   *
   * @param now the current time
   * @return whether the lease is valid
   */
  public boolean isValid(Duration now) {
    Duration registration = registeredAt;
    Duration confirmation = confirmedAt;
    if (registration == null || confirmation == null) {
      return false;
    }
    boolean isConfirmed = now.compareTo(confirmation.plus(DURATION)) < 0;
    return isConfirmed && !mustWaitForPredecessor(registration, now);
  }

  private boolean mustWaitForPredecessor(Duration registration, Duration now) {
    return waitsForPredecessor
        && hadPredecessor
        && now.compareTo(registration.plus(DURATION).plus(TAKEOVER_MARGIN)) < 0;
  }
}
