package org.wigeonstage.rollout;

import java.time.Duration;
import org.wigeonstage.fleet.StoreVersion;

/**
 * An order to shift the traffic of a pool to the servers of a version.
 *
 * @param name the name of the object in the store
 * @param pool the pool
 * @param target the version
 * @param duration the time within which the order must be completed or rolled back
 * @param version the version at which the object was last written in the store
 * @param state the state that a gateway has written for this target
 */
public record RolloutOrder(
    String name,
    String pool,
    String target,
    Duration duration,
    StoreVersion version,
    RolloutState state) {

  /**
   * Creates an order that was read from a store without eras.
   *
   * @param name the name of the object in the store
   * @param pool the pool
   * @param target the version
   * @param duration the time within which the order must be completed or rolled back
   * @param revision the revision of the object in the store
   * @param state the state that a gateway has written for this target
   */
  public RolloutOrder(
      String name,
      String pool,
      String target,
      Duration duration,
      long revision,
      RolloutState state) {
    this(name, pool, target, duration, new StoreVersion(0, revision), state);
  }

  /**
   * Returns whether the order has neither been completed nor rolled back.
   *
   * @return whether it is open
   */
  public boolean isOpen() {
    return state == RolloutState.REQUESTED || state == RolloutState.ACTIVE;
  }

  /**
   * Returns the same order in another state.
   *
   * @param otherState the state
   * @return an order with this state
   */
  public RolloutOrder withState(RolloutState otherState) {
    return new RolloutOrder(name, pool, target, duration, version, otherState);
  }

  /**
   * Returns whether another revision of the object requests the same.
   *
   * @param other the other revision
   * @return whether pool and target are equal
   */
  public boolean hasSameTarget(RolloutOrder other) {
    return pool.equals(other.pool) && target.equals(other.target);
  }
}
