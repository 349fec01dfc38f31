package org.wigeonstage.bench;

/** Something that fails, or is replaced, while a load runs. */
public sealed interface Fault {

  /**
   * Returns when it begins.
   *
   * @return seconds from the start of the load
   */
  int atSecond();

  /**
   * An engine that works more slowly.
   *
   * @param atSecond when it begins
   * @param engine the engine's index
   * @param factor how many times as long each step takes
   */
  record SlowEngine(int atSecond, int engine, int factor) implements Fault {}

  /**
   * A failure domain whose hosts all stop at once.
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
   * An outage of the platform that lasts to the end.
   *
   * @param atSecond when it begins
   */
  record PlatformOutage(int atSecond) implements Fault {}
}
