package org.wigeonstage.common;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class RepeatedTaskTest {

  private static final Duration INTERVAL = Duration.ofMillis(1);

  private final ScheduledExecutorService executor =
      ControlExecutors.newSingleThreadExecutor("test");

  @AfterEach
  void close() {
    executor.shutdownNow();
  }

  private void assertContinuesAfter(Runnable failure) throws InterruptedException {
    CountDownLatch runs = new CountDownLatch(3);
    RepeatedTask.startWithFixedDelay(
        executor,
        "test",
        Duration.ZERO,
        INTERVAL,
        () -> {
          runs.countDown();
          failure.run();
        });
    assertThat(runs.await(20, TimeUnit.SECONDS)).isTrue();
  }

  private static int recurse(int depth) {
    return recurse(depth + 1) + 1;
  }

  @Test
  void continuesAfterARuntimeException() throws InterruptedException {
    assertContinuesAfter(
        () -> {
          throw new IllegalStateException("test");
        });
  }

  @Test
  void continuesAfterAStackOverflow() throws InterruptedException {
    assertContinuesAfter(() -> recurse(0));
  }

  @Test
  void continuesAfterAnOutOfMemoryError() throws InterruptedException {
    assertContinuesAfter(
        () -> {
          throw new OutOfMemoryError("test");
        });
  }

  @Test
  void countsFailures() throws InterruptedException {
    long before = RepeatedTask.failureCount();
    assertContinuesAfter(
        () -> {
          throw new IllegalStateException("test");
        });
    assertThat(RepeatedTask.failureCount()).isGreaterThanOrEqualTo(before + 2);
  }

  @Test
  void aFailedPartDoesNotKeepTheNextOneFromRunning() {
    AtomicInteger runs = new AtomicInteger();
    assertThat(RepeatedTask.runPart("first", () -> recurse(0))).isFalse();
    assertThat(RepeatedTask.runPart("second", runs::incrementAndGet)).isTrue();
    assertThat(runs).hasValue(1);
  }

  @Test
  void endsWithItsExecutor() throws InterruptedException {
    AtomicInteger runs = new AtomicInteger();
    RepeatedTask.startWithFixedDelay(
        executor, "test", Duration.ZERO, INTERVAL, runs::incrementAndGet);
    executor.shutdown();
    assertThat(executor.awaitTermination(20, TimeUnit.SECONDS)).isTrue();
    assertThat(runs.get()).isLessThan(100);
  }
}
