package org.wigeonstage.demo;

import java.io.IOException;
import java.io.PrintStream;
import java.time.InstantSource;
import java.util.List;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.http.HttpClient;
import org.wigeonstage.load.Experiment;
import org.wigeonstage.load.LoadGenerator;
import org.wigeonstage.load.LoadResult;
import org.wigeonstage.load.LoadTable;

/** Starts the example deployments one after the other and sends a load to each. */
public final class Demo {

  private static final List<String> PLANS = List.of("botiquin", "norrvik");
  private static final int CLIENT_THREADS = 2;

  private final PrintStream out;
  private final int seconds;
  private final long seed;
  private final DeploymentOptions options;

  /**
   * Creates a demo.
   *
   * @param out where to print
   * @param seconds how long to send requests to each deployment, in seconds
   * @param seed the random seed
   * @param options how to start the deployments
   */
  public Demo(PrintStream out, int seconds, long seed, DeploymentOptions options) {
    this.out = out;
    this.seconds = seconds;
    this.seed = seed;
    this.options = options;
  }

  /**
   * Runs both deployments.
   *
   * @return the number of violated invariants
   * @throws IOException if a process can't be stopped
   * @throws InterruptedException if the thread is interrupted
   */
  public long run() throws IOException, InterruptedException {
    long violations = 0;
    for (String name : PLANS) {
      violations += run(DeploymentPlan.named(name));
    }
    return violations;
  }

  private long run(DeploymentPlan plan) throws IOException, InterruptedException {
    out.printf(
        "%s: %d entries, %d backend servers, %d failure domains; %d s of load, seed %d%n",
        plan.name(),
        plan.entries(),
        plan.pools().stream().mapToInt(DeploymentPlan.Pool::size).sum(),
        plan.failureDomains().size(),
        seconds,
        seed);
    try (Deployment deployment = Deployment.start(plan, options);
        HttpClient client = HttpClient.start("load", CLIENT_THREADS)) {
      Experiment experiment = new Experiment(plan.name(), seed, seconds, plan.classes(), List.of());
      LoadGenerator generator =
          new LoadGenerator(client, MonotonicClock.system(), InstantSource.system(), out::println);
      LoadResult result = generator.run(experiment, deployment.callersEndpoints());
      return report(deployment, result);
    }
  }

  private long report(Deployment deployment, LoadResult result) {
    out.println();
    out.print(LoadTable.of(result));
    long wrong = result.wrongResponses();
    long doubled = deployment.doubleDispatches();
    long falseNotRun = result.falseNotRuns(deployment.serviceRuns());
    out.printf(
        "prefill: %d tokens processed, %d wasted, %d found in caches%n",
        deployment.prefillComputed(),
        Math.max(0, deployment.prefillComputed() - result.necessaryPrefill()),
        deployment.prefillSaved());
    out.printf(
        "invariants violated: %d (wrong answers %d, dispatched twice %d, false \"not run\" %d);"
            + " requests without an end: %d%n%n",
        wrong + doubled + falseNotRun, wrong, doubled, falseNotRun, result.open());
    return wrong + doubled + falseNotRun;
  }
}
