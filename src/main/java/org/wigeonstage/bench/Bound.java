package org.wigeonstage.bench;

/**
 * A measured figure, with the target that it must meet.
 *
 * @param name the name of the figure, with its unit
 * @param measured the figure
 * @param relation how the figure must compare with the target
 * @param target the target
 */
public record Bound(String name, double measured, Relation relation, double target) {

  /** How a figure must compare with its target. */
  public enum Relation {
    /** Not above the target. */
    AT_MOST,
    /** Not below the target. */
    AT_LEAST
  }

  /**
   * Returns whether the figure meets the target.
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
