package org.wigeonstage.bench;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.demo.DeploymentOptions;
import org.wigeonstage.demo.DeploymentPlan;
import org.wigeonstage.load.LoadSummary;
import org.wigeonstage.load.TierSummary;
import org.wigeonstage.routing.RoutingPolicy;

/**
 * Runs the scenarios of deployments, repeats some with baseline routing policies, and checks
 * bounds.
 */
public final class Bench {

  private static final List<RoutingPolicy> BASELINES =
      List.of(RoutingPolicy.LEAST_OUTSTANDING, RoutingPolicy.ROUND_ROBIN, RoutingPolicy.RANDOM);

  /** The users' target for the time until a change is active in every process, in seconds. */
  private static final double MAX_PROPAGATION_SECONDS = 2;

  private final PrintStream out;
  private final ScenarioRunner runner;
  private final int seconds;
  private final List<LoadSummary> summaries = new ArrayList<>();
  private final List<Bound> bounds = new ArrayList<>();

  /**
   * Creates a bench.
   *
   * @param out where to print
   * @param seconds how long requests are sent in each scenario, in seconds
   * @param seed the random seed
   */
  public Bench(PrintStream out, int seconds, long seed) {
    this.out = out;
    this.seconds = seconds;
    this.runner = new ScenarioRunner(seconds, seed, line -> out.println("running " + line));
  }

  /**
   * Runs a deployment's scenarios, and measures the propagation of configuration changes.
   *
   * @param plan the deployment
   * @param selection the name of the only scenario to run, {@code propagation} for the measurement
   *     only, or {@code all}
   * @throws IOException if a process can't be stopped
   * @throws InterruptedException if the thread is interrupted
   */
  public void run(DeploymentPlan plan, String selection) throws IOException, InterruptedException {
    DeploymentOptions defaults = DeploymentOptions.DEFAULTS;
    LoadSummary steady = null;
    if (selection.equals("all") || selection.equals("propagation")) {
      measurePropagation(plan);
    }
    for (Scenario scenario : Scenario.allOf(plan, seconds)) {
      boolean selected = selection.equals("all") || selection.equals(scenario.name());
      if (!selected) {
        continue;
      }
      LoadSummary summary = record(runner.run(plan, defaults, scenario));
      bounds.addAll(Bounds.ofScenario(summary));
      if (scenario.name().equals("steady")) {
        steady = summary;
        compareWastedPrefill(plan, scenario, summary);
      } else if (scenario.name().equals("overload")) {
        bounds.addAll(Bounds.ofOverload(summary));
        if (steady != null) {
          bounds.addAll(Bounds.ofBurst(steady, summary));
        }
      } else if (scenario.name().equals("burst")) {
        compareBurst(plan, scenario, steady, summary);
      }
    }
  }

  private void measurePropagation(DeploymentPlan plan) throws IOException, InterruptedException {
    out.println("running " + plan.name() + "/propagation");
    double seconds = new PropagationProbe().measure(plan);
    out.printf("  a change is in force everywhere within %.3f s%n", seconds);
    bounds.add(
        new Bound(
            plan.name() + "/propagation longest s",
            seconds,
            Bound.Relation.AT_MOST,
            MAX_PROPAGATION_SECONDS));
  }

  private void compareWastedPrefill(DeploymentPlan plan, Scenario scenario, LoadSummary summary)
      throws IOException, InterruptedException {
    LoadSummary baseline = runBaseline(plan, scenario, RoutingPolicy.LEAST_OUTSTANDING);
    bounds.add(Bounds.ofWastedPrefill(summary, baseline));
  }

  private void compareBurst(
      DeploymentPlan plan, Scenario scenario, @Nullable LoadSummary steady, LoadSummary summary)
      throws IOException, InterruptedException {
    if (steady != null) {
      bounds.addAll(Bounds.ofBurst(steady, summary));
    }
    List<LoadSummary> baselines = new ArrayList<>();
    for (RoutingPolicy policy : BASELINES) {
      baselines.add(runBaseline(plan, scenario, policy));
    }
    bounds.add(Bounds.ofTotalGoodput(summary, baselines));
  }

  private LoadSummary runBaseline(DeploymentPlan plan, Scenario scenario, RoutingPolicy policy)
      throws IOException, InterruptedException {
    DeploymentOptions options = DeploymentOptions.DEFAULTS.withRouting(policy);
    return record(runner.run(plan, options, scenario));
  }

  private LoadSummary record(LoadSummary summary) {
    summaries.add(summary);
    out.printf(
        "  prefill %d computed, %d saved, %d wasted; violations %d %s%n",
        summary.prefillComputed(),
        summary.prefillSaved(),
        summary.prefillWasted(),
        summary.violations().total(),
        summary.violations());
    for (TierSummary tier : summary.tiers()) {
      out.printf(
          "  tier %d: sent %d, good %d, done %d, not run %d, unknown %d; first part %s, gap %.1f%n",
          tier.tier(),
          tier.sent(),
          tier.good(),
          tier.completed(),
          tier.notRun(),
          tier.unknown(),
          tier.firstPartMillis(),
          tier.gapMillisP95());
    }
    return summary;
  }

  /**
   * Prints all bounds with their results.
   *
   * @return the number of bounds that were missed
   */
  public long report() {
    out.println();
    bounds.forEach(out::println);
    long missed = bounds.stream().filter(bound -> !bound.holds()).count();
    out.println(bounds.size() + " bounds, " + missed + " missed");
    return missed;
  }

  /**
   * Returns the figures of all runs so far.
   *
   * @return the figures
   */
  public List<LoadSummary> summaries() {
    return List.copyOf(summaries);
  }
}
