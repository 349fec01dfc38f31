package org.wigeonstage.bench;

/**
 * A bound that comes from a stated target, and the figure that was measured.
 *
 * @param name what is measured
 * @param measured the figure
 * @param relation how it must stand to the target
 * @param target the target
 */
public record Bound(String name, double measured, Relation relation, double target) {

  /** How a figure must stand to its target. */
  public enum Relation {
    /** Not above the target. */
    AT_MOST,
    /** Not below the target. */
    AT_LEAST
  }

  /**
   * Tells whether the figure keeps the target.
   *
   * @return whether the bound holds
   */
  public boolean holds() {
    return relation == Relation.AT_MOST ? measured <= target : measured >= target;
  }

  @Override
  public String toString() {
    return String.format(
        "%-4s %-72s %12.3f %s %.3f",
        holds() ? "ok" : "MISS",
        name,
        measured,
        relation == Relation.AT_MOST ? "<=" : ">=",
        target);
  }
}
