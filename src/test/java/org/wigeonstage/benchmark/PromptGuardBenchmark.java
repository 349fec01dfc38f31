package org.wigeonstage.benchmark;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.wigeonstage.crash.HoldListener;
import org.wigeonstage.crash.PartHold;
import org.wigeonstage.crash.PromptGuard;

/**
 * Measures the longest call of a {@link PromptGuard} and of a peer that receives its reports, where
 * the prompts of the requests that crash servers share many parts.
 */
public final class PromptGuardBenchmark {

  private static final String POOL = "engines";
  private static final int CRASHES = 64;
  private static final Duration CRASH_INTERVAL = Duration.ofMillis(150);
  private static final Duration TICK = Duration.ofMillis(20);
  private static final Duration TIME_LIMIT = Duration.ofSeconds(12);
  private static final int CLEARED_AFTER = 8;

  private final PromptGuard guard = new PromptGuard(new NoHoldListener());
  private final PromptGuard peer = new PromptGuard(new NoHoldListener());
  private Duration now = Duration.ofHours(1);
  private long longestNanos;
  private long totalNanos;

  private static final class NoHoldListener implements HoldListener {
    @Override
    public void held(PartHold hold) {}

    @Override
    public void released(Set<String> parts) {}
  }

  private PromptGuardBenchmark() {}

  /**
   * Runs the benchmark and prints its results.
   *
   * @param args not used
   */
  public static void main(String[] args) {
    Random random = new Random(1);
    print("20, one document", 2, () -> parts("d", 20));
    print("300, one document", 2, () -> parts("d", 300));
    print("1200, one document", 2, () -> parts("d", 1200));
    print("2000, one document", 2, () -> parts("d", 2000));
    print("1200, five documents", 4, () -> parts("d" + random.nextInt(5) + "-", 1200));
    print("200 to 2000, beginnings", 3, () -> parts("d", 200 + random.nextInt(1800)));
    print("1000, random halves", 3, () -> half(parts("d", 1000), random));
    print("2000, random halves", 12, () -> half(parts("d", 2000), random));
  }

  private static List<String> parts(String name, int count) {
    return IntStream.range(0, count).mapToObj(i -> name + i).toList();
  }

  private static List<String> half(List<String> parts, Random random) {
    return parts.stream().filter(part -> random.nextBoolean()).toList();
  }

  private static void print(String name, int victims, Supplier<List<String>> prompts) {
    PromptGuardBenchmark benchmark = new PromptGuardBenchmark();
    int crashes = benchmark.run(victims, prompts);
    System.out.printf(
        "%-26s longest call %7.1f ms, %2d of %d crashes in %5d ms%n",
        name, benchmark.longestNanos / 1e6, crashes, CRASHES, benchmark.totalNanos / 1_000_000);
  }

  private int run(int victims, Supplier<List<String>> prompts) {
    int crash = 0;
    while (crash < CRASHES && totalNanos < TIME_LIMIT.toNanos()) {
      for (int victim = 0; victim < victims; victim++) {
        List<String> parts = prompts.get();
        int run = crash;
        measure(() -> guard.recordLoss("run-" + run, POOL, parts, false, now));
      }
      crash++;
      if (crash % CLEARED_AFTER == 0) {
        List<String> parts = prompts.get();
        measure(() -> guard.recordResponse(parts.subList(0, parts.size() / 2), POOL, now));
      }
      Duration next = now.plus(CRASH_INTERVAL);
      for (; now.compareTo(next) < 0; now = now.plus(TICK)) {
        tick(prompts.get());
      }
    }
    return crash;
  }

  private void tick(List<String> prompt) {
    measure(() -> guard.tick(now));
    measure(() -> peer.applyReports(guard.takeOwnChanges(now), now));
    measure(() -> peer.tick(now));
    measure(() -> guard.decide(prompt, POOL, now));
  }

  private void measure(Runnable call) {
    long startedAt = System.nanoTime();
    call.run();
    long nanos = System.nanoTime() - startedAt;
    longestNanos = Math.max(longestNanos, nanos);
    totalNanos += nanos;
  }
}
