package org.wigeonstage.rollout;

import java.time.Duration;
import java.util.List;
import org.wigeonstage.common.WigeonstageException;

/**
 * Provides the roll-out orders in the store. Methods block. The orders must be awaited on one
 * thread; states may be written on another one.
 */
public interface RolloutStore {

  /**
   * Waits until the orders differ from those that the previous call returned, or until the time has
   * passed. The first call reads all orders.
   *
   * @param maxWait the maximum time to wait
   * @return the current orders
   * @throws WigeonstageException if the store is unreachable or refuses the call
   */
  List<RolloutOrder> awaitOrders(Duration maxWait);

  /**
   * Writes the state of an order, unless the object has another revision than the order.
   *
   * @param order the order
   * @param state the new state
   * @return the object after the write, or the different object if it has another revision
   * @throws WigeonstageException if the store is unreachable, refuses the call, or may have lost it
   */
  RolloutOrder writeState(RolloutOrder order, RolloutState state);
}
