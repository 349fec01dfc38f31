package org.wigeonstage.bench;

/** A fault or a restart that is injected while a load is sent. */
public sealed interface Fault {

  /**
   * Returns when it begins.
   *
   * @return seconds from the start of the load
   */
  int atSecond();

  /**
   * An engine stand-in that becomes slower.
   *
   * @param atSecond when it begins
   * @param engine the engine's index
   * @param factor how many times as long each step takes
   */
  record SlowEngine(int atSecond, int engine, int factor) implements Fault {}

  /**
   * A failure domain whose processes all stop at once, without draining.
   *
   * @param atSecond when it begins
   * @param failureDomain the failure domain's name
   */
  record FailureDomainLoss(int atSecond, String failureDomain) implements Fault {}

  /**
   * A restart of all agents and entries, one after the other.
   *
   * @param atSecond when it begins
   */
  record RollingRestart(int atSecond) implements Fault {}

  /**
   * An outage of the platform that lasts until the end of the run.
   *
   * @param atSecond when it begins
   */
  record PlatformOutage(int atSecond) implements Fault {}
}
