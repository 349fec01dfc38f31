package org.wigeonstage.load;

import java.util.List;

/**
 * The figures of one run.
 *
 * @param name the run's name
 * @param seed the random seed
 * @param seconds how long requests were sent, in seconds
 * @param tiers the figures of each tier, the highest first
 * @param prefillComputed the prompt tokens that engines processed
 * @param prefillSaved the prompt tokens that engines found in their caches
 * @param prefillWasted the processed prompt tokens beyond {@link LoadResult#necessaryPrefill}
 * @param violations the counts of violated invariants
 */
public record LoadSummary(
    String name,
    long seed,
    int seconds,
    List<TierSummary> tiers,
    long prefillComputed,
    long prefillSaved,
    long prefillWasted,
    Violations violations) {

  /**
   * Counts of violated invariants, all of which must be 0.
   *
   * @param wrongAnswers completed requests with an incomplete response or that of another request
   * @param dispatchedTwice requests that a backend server received more than once
   * @param falseNotRun requests that ran although their callers were told "not run"
   * @param withoutEnd requests whose callers got no outcome before the run ended
   */
  public record Violations(
      long wrongAnswers, long dispatchedTwice, long falseNotRun, long withoutEnd) {

    /**
     * Returns the sum of the counts.
     *
     * @return the number of violations
     */
    public long total() {
      return wrongAnswers + dispatchedTwice + falseNotRun + withoutEnd;
    }
  }

  /** Copies the list. */
  public LoadSummary {
    tiers = List.copyOf(tiers);
  }

  /**
   * Returns the goodput of all tiers.
   *
   * @return the number of good requests
   */
  public long totalGood() {
    return tiers.stream().mapToLong(TierSummary::good).sum();
  }
}
