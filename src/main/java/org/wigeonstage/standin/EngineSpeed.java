package org.wigeonstage.standin;

import java.time.Duration;

/**
 * The speed and cache size of an engine stand-in.
 *
 * @param step the duration of one batch step
 * @param tokensPerStep the maximum number of prompt and output tokens that one step processes
 * @param cacheBlocks the number of prompt blocks that the prefix cache holds
 */
public record EngineSpeed(Duration step, int tokensPerStep, int cacheBlocks) {

  /**
   * Returns the speed and cache size of a hardware generation.
   *
   * @param generation 1 for the oldest, 3 for the newest
   * @return the speed and cache size
   */
  public static EngineSpeed ofGeneration(int generation) {
    return switch (generation) {
      case 1 -> new EngineSpeed(Duration.ofMillis(30), 1024, 256);
      case 2 -> new EngineSpeed(Duration.ofMillis(20), 2048, 384);
      case 3 -> new EngineSpeed(Duration.ofMillis(12), 2048, 512);
      default -> throw new IllegalArgumentException("generation must be 1 to 3, was " + generation);
    };
  }
}
