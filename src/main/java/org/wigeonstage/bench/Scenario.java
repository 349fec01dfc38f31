package org.wigeonstage.bench;

import java.util.List;
import org.wigeonstage.demo.DeploymentPlan;
import org.wigeonstage.load.Experiment;

/**
 * A load on a deployment, with the bursts and faults that disturb it.
 *
 * @param name the scenario's name
 * @param bursts the times during which more requests are sent
 * @param faults the faults to inject
 */
public record Scenario(String name, List<Experiment.Burst> bursts, List<Fault> faults) {

  /** When bursts and faults begin, in seconds from the start of the load. */
  private static final int START_SECOND = 5;

  private static final double BURST_FACTOR = 3;
  private static final int SLOWDOWN_FACTOR = 10;

  /** With this factor, the two lower tiers alone need several times the capacity of the engines. */
  private static final double OVERLOAD_FACTOR = 20;

  /** The rank of the highest tier whose rate is raised in the overload. */
  private static final int OVERLOADED_FROM_TIER = 2;

  /** Copies the lists. */
  public Scenario {
    bursts = List.copyOf(bursts);
    faults = List.copyOf(faults);
  }

  /**
   * Returns the scenarios of a deployment.
   *
   * @param plan the deployment
   * @param seconds how long requests are sent, in seconds
   * @return all scenarios
   */
  public static List<Scenario> allOf(DeploymentPlan plan, int seconds) {
    String failureDomain = plan.failureDomains().get(0);
    return List.of(
        new Scenario("steady", List.of(), List.of()),
        new Scenario(
            "burst",
            List.of(new Experiment.Burst(START_SECOND, seconds, BURST_FACTOR, 0)),
            List.of()),
        new Scenario(
            "overload",
            List.of(
                new Experiment.Burst(START_SECOND, seconds, OVERLOAD_FACTOR, OVERLOADED_FROM_TIER)),
            List.of()),
        withFault("slow-engine", new Fault.SlowEngine(START_SECOND, 0, SLOWDOWN_FACTOR)),
        withFault("domain-lost", new Fault.FailureDomainLoss(START_SECOND, failureDomain)),
        withFault("rolling-restart", new Fault.RollingRestart(START_SECOND)),
        withFault("platform-down", new Fault.PlatformOutage(0)));
  }

  private static Scenario withFault(String name, Fault fault) {
    return new Scenario(name, List.of(), List.of(fault));
  }
}
