package org.wigeonstage.common;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

/** Creates single-threaded executors for tasks that share state without locks. */
public final class ControlExecutors {

  private ControlExecutors() {}

  /**
   * Creates an executor with one daemon thread.
   *
   * @param name the thread's name
   * @return the executor
   */
  public static ScheduledExecutorService newSingleThreadExecutor(String name) {
    return Executors.newSingleThreadScheduledExecutor(
        task -> {
          Thread thread = new Thread(task, name);
          thread.setDaemon(true);
          return thread;
        });
  }
}
