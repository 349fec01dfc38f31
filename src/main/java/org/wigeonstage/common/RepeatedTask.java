package org.wigeonstage.common;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/**
 * Runs a task again and again. Whatever a run throws is logged and counted, and does not end the
 * repetition, unlike in {@link ScheduledExecutorService#scheduleWithFixedDelay}.
 */
public final class RepeatedTask {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** The interval in seconds between two log lines about failures. */
  private static final int LOG_INTERVAL_SECONDS = 10;

  private static final AtomicLong FAILURES = new AtomicLong();

  private final ScheduledExecutorService executor;
  private final String name;
  private final Duration delayAfterFailure;
  private final Supplier<Duration> task;

  private RepeatedTask(
      ScheduledExecutorService executor,
      String name,
      Duration delayAfterFailure,
      Supplier<Duration> task) {
    this.executor = executor;
    this.name = name;
    this.delayAfterFailure = delayAfterFailure;
    this.task = task;
  }

  /**
   * Runs a task until the executor is shut down. Each run determines the delay until the next one.
   *
   * @param executor runs the task
   * @param name the name of the task, for the log
   * @param initialDelay the delay before the first run
   * @param delayAfterFailure the delay after a run that threw something
   * @param task the task, which returns the delay until its next run
   */
  public static void start(
      ScheduledExecutorService executor,
      String name,
      Duration initialDelay,
      Duration delayAfterFailure,
      Supplier<Duration> task) {
    new RepeatedTask(executor, name, delayAfterFailure, task).schedule(initialDelay);
  }

  /**
   * Runs a task until the executor is shut down, with a fixed delay after each run.
   *
   * @param executor runs the task
   * @param name the name of the task, for the log
   * @param initialDelay the delay before the first run
   * @param delay the delay after each run
   * @param task the task
   */
  public static void startWithFixedDelay(
      ScheduledExecutorService executor,
      String name,
      Duration initialDelay,
      Duration delay,
      Runnable task) {
    start(
        executor,
        name,
        initialDelay,
        delay,
        () -> {
          task.run();
          return delay;
        });
  }

  /**
   * Runs a part of a repeated task, so that its failure does not keep the other parts from running.
   *
   * @param name the name of the part, for the log
   * @param part the part
   * @return whether the part ran without a failure
   */
  public static boolean runPart(String name, Runnable part) {
    try {
      part.run();
      return true;
    } catch (Throwable e) {
      recordFailure(name, e);
      return false;
    }
  }

  /**
   * Returns the number of failed runs and parts in this process.
   *
   * @return the number since the start
   */
  public static long failureCount() {
    return FAILURES.get();
  }

  private void schedule(Duration delay) {
    try {
      executor.schedule(this::run, delay.toNanos(), TimeUnit.NANOSECONDS);
    } catch (RejectedExecutionException e) {
      if (!executor.isShutdown()) {
        throw e;
      }
    }
  }

  private void run() {
    Duration delay = delayAfterFailure;
    try {
      delay = task.get();
    } catch (Throwable e) {
      recordFailure(name, e);
    } finally {
      schedule(delay);
    }
  }

  /** Records a failure, or throws it if the virtual machine itself has failed. */
  private static void recordFailure(String name, Throwable failure) {
    if (failure instanceof InternalError internalError) {
      throw internalError;
    }
    FAILURES.incrementAndGet();
    logger.atSevere().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).withCause(failure).log(
        "%s failed; it continues with its next run", name);
  }
}
