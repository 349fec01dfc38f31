package org.wigeonstage.load;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;

/**
 * A load that is sent to entries, with the seed that makes it repeatable.
 *
 * @param name the experiment's name
 * @param seed the random seed
 * @param seconds how long requests are sent, in seconds
 * @param classes the classes of requests
 * @param bursts the times during which more requests are sent
 */
public record Experiment(
    String name, long seed, int seconds, List<RequestClass> classes, List<Burst> bursts) {

  /**
   * A time during which more requests are sent. (The burst of a quota is something else.)
   *
   * @param fromSecond when it begins, in seconds from the start
   * @param toSecond when it ends, in seconds from the start
   * @param factor the factor by which the rates of requests are multiplied
   * @param fromTier the rank of the highest tier that the factor applies to
   */
  public record Burst(int fromSecond, int toSecond, double factor, int fromTier) {}

  /**
   * Checks the duration and copies the lists.
   *
   * @throws IllegalArgumentException if the duration is not positive
   */
  public Experiment {
    checkArgument(seconds > 0, "seconds must be positive, was %s", seconds);
    classes = List.copyOf(classes);
    bursts = List.copyOf(bursts);
  }

  /**
   * Returns the factor by which a tier's rates of requests are multiplied at a time.
   *
   * @param second the time in seconds from the start
   * @param tier the tier's rank
   * @return 1 outside of bursts
   */
  public double factorAt(double second, int tier) {
    return bursts.stream()
        .filter(
            burst ->
                second >= burst.fromSecond()
                    && second < burst.toSecond()
                    && tier >= burst.fromTier())
        .mapToDouble(Burst::factor)
        .findFirst()
        .orElse(1);
  }
}
