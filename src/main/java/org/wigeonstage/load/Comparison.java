package org.wigeonstage.load;

import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Formats the figures of two results side by side, with the relative changes. */
public final class Comparison {

  private Comparison() {}

  /**
   * Returns a table of the runs whose names are in both results.
   *
   * @param left the first result
   * @param right the second result
   * @return lines of text, or a line that says that there are no such runs
   */
  public static String of(List<LoadSummary> left, List<LoadSummary> right) {
    StringBuilder table = new StringBuilder();
    for (LoadSummary run : left) {
      Optional<LoadSummary> other =
          right.stream().filter(candidate -> candidate.name().equals(run.name())).findFirst();
      other.ifPresent(match -> append(table, run, match));
    }
    return table.isEmpty() ? "no run has the same name in both results\n" : table.toString();
  }

  private static void append(StringBuilder table, LoadSummary left, LoadSummary right) {
    table.append(left.name()).append('\n');
    line(table, "prefill wasted", left.prefillWasted(), right.prefillWasted());
    line(table, "violations", left.violations().total(), right.violations().total());
    int tiers = Math.min(left.tiers().size(), right.tiers().size());
    for (int i = 0; i < tiers; i++) {
      TierSummary leftTier = left.tiers().get(i);
      TierSummary rightTier = right.tiers().get(i);
      String name = "tier " + leftTier.tier() + " ";
      line(table, name + "good", leftTier.good(), rightTier.good());
      line(
          table,
          name + "first part p95 ms",
          leftTier.firstPartMillis().p95(),
          rightTier.firstPartMillis().p95());
      line(table, name + "gap p95 ms", leftTier.gapMillisP95(), rightTier.gapMillisP95());
    }
  }

  private static void line(StringBuilder table, String name, double left, double right) {
    String change =
        left == 0 ? "" : String.format(Locale.ROOT, "%+.1f %%", 100 * (right - left) / left);
    table.append(
        String.format(Locale.ROOT, "  %-28s %12.1f %12.1f  %s%n", name, left, right, change));
  }
}
