package org.wigeonstage.bench;

import java.io.IOException;
import java.time.InstantSource;
import java.util.function.Consumer;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.demo.Deployment;
import org.wigeonstage.demo.DeploymentOptions;
import org.wigeonstage.demo.DeploymentPlan;
import org.wigeonstage.http.HttpClient;
import org.wigeonstage.load.Experiment;
import org.wigeonstage.load.LoadGenerator;
import org.wigeonstage.load.LoadResult;
import org.wigeonstage.load.LoadSummary;
import org.wigeonstage.load.Summarizer;

/** Runs scenarios, each on a new deployment. */
public final class ScenarioRunner {

  private static final int CLIENT_THREADS = 2;

  private final int seconds;
  private final long seed;
  private final Consumer<String> progress;

  /**
   * Creates a runner.
   *
   * @param seconds how long requests are sent in each run, in seconds
   * @param seed the random seed
   * @param progress receives the name of each run when it starts
   */
  public ScenarioRunner(int seconds, long seed, Consumer<String> progress) {
    this.seconds = seconds;
    this.seed = seed;
    this.progress = progress;
  }

  /**
   * Runs a scenario.
   *
   * @param plan the deployment
   * @param options the options of the deployment
   * @param scenario the bursts and faults
   * @return the figures
   * @throws IOException if a process can't be stopped
   * @throws InterruptedException if the thread is interrupted
   */
  public LoadSummary run(DeploymentPlan plan, DeploymentOptions options, Scenario scenario)
      throws IOException, InterruptedException {
    String name = plan.name() + "/" + scenario.name() + "/" + options.routing().text();
    progress.accept(name);
    Experiment experiment =
        new Experiment(plan.name(), seed, seconds, plan.classes(), scenario.bursts());
    try (Deployment deployment = Deployment.start(plan, options);
        HttpClient client = HttpClient.start("load", CLIENT_THREADS)) {
      LoadGenerator generator =
          new LoadGenerator(client, MonotonicClock.system(), InstantSource.system(), line -> {});
      LoadResult result;
      try (FaultInjector injector = new FaultInjector(deployment, scenario)) {
        result = generator.run(experiment, deployment.callersEndpoints());
      }
      return summarize(name, deployment, result);
    }
  }

  private static LoadSummary summarize(String name, Deployment deployment, LoadResult result) {
    long computed = deployment.prefillComputed();
    return new LoadSummary(
        name,
        result.experiment().seed(),
        result.experiment().seconds(),
        Summarizer.tiersOf(result),
        computed,
        deployment.prefillSaved(),
        Math.max(0, computed - result.necessaryPrefill()),
        new LoadSummary.Violations(
            result.wrongResponses(),
            deployment.doubleDispatches(),
            result.falseNotRuns(deployment.serviceRuns()),
            result.open()));
  }
}
