package org.wigeonstage.request;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The urgency of a request.
 *
 * @param rank 0 for the highest tier, increasing towards the lowest
 */
public record Tier(int rank) implements Comparable<Tier> {

  /** The maximum number of tiers in a configuration. */
  public static final int MAX_TIERS = 16;

  /** Checks the range of the rank. */
  public Tier {
    checkArgument(rank >= 0 && rank < MAX_TIERS, "tier rank must be from 0 to 15, was %s", rank);
  }

  /**
   * Returns the tier with the given rank.
   *
   * @param rank the rank
   * @return the tier
   */
  public static Tier of(int rank) {
    return new Tier(rank);
  }

  /**
   * Returns whether this tier is more urgent than another.
   *
   * @param other the tier to compare with
   * @return whether the rank of this tier is lower
   */
  public boolean isAbove(Tier other) {
    return rank < other.rank;
  }

  /** Compares tiers so that the highest comes first. */
  @Override
  public int compareTo(Tier other) {
    return Integer.compare(rank, other.rank);
  }
}
