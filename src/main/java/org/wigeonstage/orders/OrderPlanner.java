package org.wigeonstage.orders;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** Computes the orders that bring a backend server from its loaded targets to the desired ones. */
public final class OrderPlanner {

  private OrderPlanner() {}

  /**
   * Returns the missing orders. Unloads come first, because they free memory for the loads.
   *
   * @param desired the targets that should be loaded
   * @param loaded the targets that are loaded
   * @return the orders, in the sequence in which they must be sent
   */
  public static List<Order> plan(Set<String> desired, Set<String> loaded) {
    List<Order> orders = new ArrayList<>();
    for (String target : new TreeSet<>(loaded)) {
      if (!desired.contains(target)) {
        orders.add(new Order(Order.Action.UNLOAD, target));
      }
    }
    for (String target : new TreeSet<>(desired)) {
      if (!loaded.contains(target)) {
        orders.add(new Order(Order.Action.LOAD, target));
      }
    }
    return orders;
  }
}
