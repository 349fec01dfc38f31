package org.wigeonstage.orders;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** Finds the orders that turn what a backend server has loaded into what it should have loaded. */
public final class OrderPlanner {

  private OrderPlanner() {}

  /**
   * Returns the missing orders: first what frees memory, then what needs it.
   *
   * @param desired what should be loaded
   * @param loaded what is loaded
   * @return the orders
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
