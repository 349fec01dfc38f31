package org.wigeonstage.fleet;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The highest era of the store that this process has seen, in a response or in a message from a
 * peer. Thread-safe.
 */
public final class StoreEra {

  private final Set<Runnable> listeners = ConcurrentHashMap.newKeySet();
  private long highest;
  private boolean isKnown;

  /**
   * Returns the highest era seen.
   *
   * @return the era, or 0 if the store has stated none
   */
  public synchronized long highest() {
    return highest;
  }

  /**
   * Records an era, and runs the listeners if it is higher than all earlier ones. The first era
   * that is seen is no rise, because the store may have been restored before this process started.
   *
   * @param era the era
   * @return whether the era is not lower than the highest one seen
   */
  public boolean observe(long era) {
    synchronized (this) {
      boolean isFirst = !isKnown;
      isKnown = true;
      if (era <= highest) {
        return era == highest;
      }
      highest = era;
      if (isFirst) {
        return true;
      }
    }
    listeners.forEach(Runnable::run);
    return true;
  }

  /**
   * Adds an action that is run when the era rises, on the thread that observes the rise.
   *
   * @param listener the action
   */
  public void addListener(Runnable listener) {
    listeners.add(listener);
  }

  /**
   * Removes an action that was added.
   *
   * @param listener the action
   */
  public void removeListener(Runnable listener) {
    listeners.remove(listener);
  }
}
