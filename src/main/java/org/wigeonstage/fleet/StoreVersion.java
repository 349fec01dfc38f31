package org.wigeonstage.fleet;

import java.util.Comparator;

/**
 * The version of state that was read from the store. Versions are compared by era, then by
 * revision: a store that is restored from a copy starts a new era, and assigns revisions again that
 * it had assigned after the copy was taken.
 *
 * @param era the number of times that the store has been restored; 0 for a store without eras
 * @param revision the revision within the era
 */
public record StoreVersion(long era, long revision) implements Comparable<StoreVersion> {

  private static final Comparator<StoreVersion> ORDER =
      Comparator.comparingLong(StoreVersion::era).thenComparingLong(StoreVersion::revision);

  @Override
  public int compareTo(StoreVersion other) {
    return ORDER.compare(this, other);
  }

  /**
   * Returns whether this version is higher than another one.
   *
   * @param other the other version
   * @return whether it is of a higher era, or of the same era and a higher revision
   */
  public boolean isAfter(StoreVersion other) {
    return compareTo(other) > 0;
  }

  /**
   * Returns whether the store was restored between another version and this one.
   *
   * @param other the other version
   * @return whether this version is of a higher era
   */
  public boolean isOfLaterEraThan(StoreVersion other) {
    return era > other.era;
  }
}
