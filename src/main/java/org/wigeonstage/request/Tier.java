package org.wigeonstage.request;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The order of urgency of a request.
 *
 * @param rank 0 for the highest tier, growing towards the lowest
 */
public record Tier(int rank) implements Comparable<Tier> {

  /** The greatest number of tiers that a configuration may define. */
  public static final int MAX_TIERS = 16;

  /** Checks the rank's range. */
  public Tier {
    checkArgument(rank >= 0 && rank < MAX_TIERS, "tier rank must be from 0 to 15, was %s", rank);
  }

  /**
   * Returns the tier of a rank.
   *
   * @param rank the rank
   * @return the tier
   */
  public static Tier of(int rank) {
    return new Tier(rank);
  }

  /**
   * Tells whether this tier is more urgent than another.
   *
   * @param other the tier to compare with
   * @return true where this tier's rank is the smaller
   */
  public boolean isAbove(Tier other) {
    return rank < other.rank;
  }

  /** Orders tiers from the highest to the lowest. */
  @Override
  public int compareTo(Tier other) {
    return Integer.compare(rank, other.rank);
  }
}
