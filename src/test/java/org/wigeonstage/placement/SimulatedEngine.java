package org.wigeonstage.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * A model engine in virtual time. It admits runs in order of arrival, reads prompts in chunks, and
 * generates one token for each run that has read its prompt in each step. Steps with a chunk take
 * longer for all runs.
 */
final class SimulatedEngine {

  private static final double STEP_MILLIS = 3.4;
  private static final double STEP_MILLIS_PER_RUN = 0.1;
  private static final double PROMPT_TOKENS_PER_MILLI = 112;
  private static final int CHUNK_TOKENS = 4096;
  private static final int TOKENS_PER_EVENT = 5;

  /** A request at the engine. */
  static final class Run {
    private final Runnable onFirstEvent;
    private final Runnable onEnd;
    private Runnable onProgress = () -> {};
    private final long tokens;
    private long promptTokensLeft;
    private long generated;

    Run(long promptTokens, long events, Runnable onFirstEvent, Runnable onEnd) {
      this.promptTokensLeft = promptTokens;
      this.tokens = events * TOKENS_PER_EVENT;
      this.onFirstEvent = onFirstEvent;
      this.onEnd = onEnd;
    }

    void onProgress(Runnable action) {
      onProgress = action;
    }
  }

  /** The number of events between two calls of the action for the progress of a run. */
  static final int PROGRESS_EVENTS = 8;

  private final int slots;
  private double slowness;
  private int comfortableRuns = Integer.MAX_VALUE;
  private double crowdedSlowness = 1;
  private final Deque<Run> queue = new ArrayDeque<>();
  private final List<Run> running = new ArrayList<>();
  private double slowdown = 1;
  private boolean isStepping;
  private double stepEndsAt;
  private long chunkTokens;

  /**
   * Creates an idle engine.
   *
   * @param slots the runs in one batch
   * @param slowness the time that a step takes, as a multiple of that of a usual engine
   */
  SimulatedEngine(int slots, double slowness) {
    this.slots = slots;
    this.slowness = slowness;
  }

  /** Makes steps take a multiple of their usual time from now on. */
  void slowDown(double factor) {
    slowdown = factor;
  }

  /** Changes the speed from the next step on. */
  void setSlowness(double newSlowness) {
    slowness = newSlowness;
  }

  /** Makes steps with more than a number of runs take several times as long. */
  void slowDownAbove(int runs, double factor) {
    comfortableRuns = runs;
    crowdedSlowness = factor;
  }

  void add(Run run) {
    queue.addLast(run);
  }

  void remove(Run run) {
    queue.remove(run);
    running.remove(run);
  }

  /** Completes the steps that end until the given time. */
  void advance(double nowMillis) {
    while (true) {
      if (!isStepping && !startStep(nowMillis)) {
        return;
      }
      if (stepEndsAt > nowMillis) {
        return;
      }
      isStepping = false;
      endStep();
      startStep(stepEndsAt);
    }
  }

  private boolean startStep(double atMillis) {
    while (running.size() < slots && !queue.isEmpty()) {
      running.add(queue.removeFirst());
    }
    if (running.isEmpty()) {
      return false;
    }
    long promptTokens = running.stream().mapToLong(run -> run.promptTokensLeft).sum();
    chunkTokens = Math.min(CHUNK_TOKENS, promptTokens);
    double millis =
        STEP_MILLIS + STEP_MILLIS_PER_RUN * running.size() + chunkTokens / PROMPT_TOKENS_PER_MILLI;
    double crowding = running.size() > comfortableRuns ? crowdedSlowness : 1;
    stepEndsAt = atMillis + millis * slowness * slowdown * crowding;
    isStepping = true;
    return true;
  }

  private void endStep() {
    long chunkLeft = chunkTokens;
    for (Run run : List.copyOf(running)) {
      if (run.promptTokensLeft > 0) {
        long read = Math.min(run.promptTokensLeft, chunkLeft);
        run.promptTokensLeft -= read;
        chunkLeft -= read;
        if (run.promptTokensLeft > 0) {
          continue;
        }
      }
      run.generated++;
      if (run.generated == TOKENS_PER_EVENT) {
        run.onFirstEvent.run();
      } else if (run.generated % (PROGRESS_EVENTS * TOKENS_PER_EVENT) == TOKENS_PER_EVENT) {
        run.onProgress.run();
      }
      if (run.generated >= run.tokens) {
        running.remove(run);
        run.onEnd.run();
      }
    }
  }
}
