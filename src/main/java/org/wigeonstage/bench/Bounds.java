package org.wigeonstage.bench;

import java.util.ArrayList;
import java.util.List;
import org.wigeonstage.bench.Bound.Relation;
import org.wigeonstage.load.LoadSummary;
import org.wigeonstage.load.TierSummary;

/** Creates the bounds of scenarios from the users' targets. */
final class Bounds {

  /** The time to the first part of a response that 95 in 100 must not exceed, in milliseconds. */
  private static final double MAX_FIRST_PART_P95_MILLIS = 790;

  /** The mean gap between pieces of a response that 95 in 100 must not exceed, in milliseconds. */
  private static final double MAX_GAP_P95_MILLIS = 34;

  /** The number of tiers, from the highest, that have targets of latency and goodput. */
  private static final int TOP_TIER_COUNT = 2;

  /** The share of good requests in a burst, relative to the share under the steady load. */
  private static final double MIN_BURST_GOODPUT_RATIO = 0.99;

  /** The wasted prefill, relative to that of the least-outstanding policy. */
  private static final double MAX_WASTED_PREFILL_RATIO = 0.5;

  /** The goodput of all tiers, relative to the highest of a baseline. */
  private static final double MIN_TOTAL_GOODPUT_RATIO = 0.95;

  private Bounds() {}

  /** Returns the bounds of any scenario: no violations, and latency in the top tiers. */
  static List<Bound> ofScenario(LoadSummary summary) {
    List<Bound> bounds = new ArrayList<>();
    bounds.add(
        new Bound(
            summary.name() + " violations", summary.violations().total(), Relation.AT_MOST, 0));
    summary.tiers().stream()
        .limit(TOP_TIER_COUNT)
        .forEach(tier -> addLatency(summary.name(), tier, bounds));
    return bounds;
  }

  private static void addLatency(String name, TierSummary tier, List<Bound> bounds) {
    String prefix = name + " tier " + tier.tier();
    bounds.add(
        new Bound(
            prefix + " first part p95 ms",
            tier.firstPartMillis().p95(),
            Relation.AT_MOST,
            MAX_FIRST_PART_P95_MILLIS));
    bounds.add(
        new Bound(
            prefix + " gap p95 ms", tier.gapMillisP95(), Relation.AT_MOST, MAX_GAP_P95_MILLIS));
  }

  /** Returns the bounds of goodput in the top tiers under a burst, relative to the steady load. */
  static List<Bound> ofBurst(LoadSummary steady, LoadSummary burst) {
    List<Bound> bounds = new ArrayList<>();
    for (int i = 0; i < TOP_TIER_COUNT; i++) {
      double steadyShare = steady.tiers().get(i).goodShare();
      double ratio = burst.tiers().get(i).goodShare() / steadyShare;
      bounds.add(
          new Bound(
              burst.name() + " tier " + i + " goodput against unloaded",
              ratio,
              Relation.AT_LEAST,
              MIN_BURST_GOODPUT_RATIO));
    }
    return bounds;
  }

  /**
   * Returns the bounds of shedding (requests that are not run): some of the bottom tier are shed,
   * and no tier has a larger share of its requests shed than the tier below it.
   */
  static List<Bound> ofOverload(LoadSummary overload) {
    List<Bound> bounds = new ArrayList<>();
    List<TierSummary> tiers = overload.tiers();
    for (int i = 0; i < tiers.size() - 1; i++) {
      double excess = shedShare(tiers.get(i)) - shedShare(tiers.get(i + 1));
      bounds.add(
          new Bound(
              overload.name() + " share shed of tier " + i + " above the next",
              Math.max(0, excess),
              Relation.AT_MOST,
              0));
    }
    bounds.add(
        new Bound(
            overload.name() + " requests shed of the bottom tier",
            tiers.get(tiers.size() - 1).notRun(),
            Relation.AT_LEAST,
            1));
    return bounds;
  }

  private static double shedShare(TierSummary tier) {
    return tier.sent() == 0 ? 0 : (double) tier.notRun() / tier.sent();
  }

  /** Returns the bound of wasted prefill relative to the least-outstanding policy. */
  static Bound ofWastedPrefill(LoadSummary summary, LoadSummary leastOutstanding) {
    double ratio = (double) summary.prefillWasted() / Math.max(1, leastOutstanding.prefillWasted());
    return new Bound(
        summary.name() + " wasted prefill against least outstanding",
        ratio,
        Relation.AT_MOST,
        MAX_WASTED_PREFILL_RATIO);
  }

  /** Returns the bound of total goodput relative to the best baseline. */
  static Bound ofTotalGoodput(LoadSummary summary, List<LoadSummary> baselines) {
    long best = baselines.stream().mapToLong(LoadSummary::totalGood).max().orElse(0);
    return new Bound(
        summary.name() + " total goodput against the best baseline",
        (double) summary.totalGood() / Math.max(1, best),
        Relation.AT_LEAST,
        MIN_TOTAL_GOODPUT_RATIO);
  }
}
