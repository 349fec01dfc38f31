package org.wigeonstage.routing;

import com.google.common.primitives.Ints;
import java.time.Duration;
import java.time.Instant;
import org.wigeonstage.handover.LoadReport;
import org.wigeonstage.request.Tier;

/**
 * The state of one agent, as known to an entry.
 *
 * <p>Not thread-safe.
 */
public final class AgentState {

  /** The rate assumed for an agent that has reported none, in output tokens per second. */
  private static final double DEFAULT_WORK_PER_SECOND = 400;

  /** The work assumed for a request if the agent has reported none, in output tokens. */
  private static final double DEFAULT_WORK_PER_REQUEST = 128;

  private final String name;
  private final String failureDomain;
  private final long nameHash;
  private LoadReport loadReport = LoadReport.IDLE;

  /** The reported headroom by tier, as an array because each routing decision reads it. */
  private int[] headroomByTier = Ints.toArray(LoadReport.IDLE.headroomByTier());

  private double inverseWindowSize = 1.0 / LoadReport.IDLE.windowSize();
  private double secondsPerRequest = secondsPerRequest(LoadReport.IDLE);

  private long incarnation;
  private boolean linked;
  private Instant unlinkedSince = Instant.EPOCH;
  private boolean leaving;
  private boolean suspectedLeaving;
  private int outstanding;
  private int offeredSinceReport;

  /**
   * Creates the state of an agent that is not linked.
   *
   * @param name the name of the agent
   * @param failureDomain the failure domain of the agent's host
   */
  public AgentState(String name, String failureDomain) {
    this.name = name;
    this.failureDomain = failureDomain;
    this.nameHash = RendezvousHash.hash(name);
  }

  /**
   * Returns the name of the agent.
   *
   * @return the name
   */
  public String name() {
    return name;
  }

  /**
   * Returns the failure domain of the agent's host.
   *
   * @return the name of the failure domain
   */
  public String failureDomain() {
    return failureDomain;
  }

  long nameHash() {
    return nameHash;
  }

  /**
   * Records that a link to the agent was opened. If the incarnation has changed, the agent was
   * restarted: it starts with no load and is not leaving.
   *
   * @param newIncarnation the incarnation of the agent
   */
  public void linkUp(long newIncarnation) {
    if (newIncarnation != incarnation) {
      leaving = false;
      applyLoadReport(LoadReport.IDLE);
    }
    incarnation = newIncarnation;
    linked = true;
  }

  /**
   * Records that no link to the agent is open.
   *
   * @param now the current time
   */
  public void linkDown(Instant now) {
    if (linked) {
      unlinkedSince = now;
    }
    linked = false;
  }

  /**
   * Returns whether the agent has been without a link for longer than the given duration.
   *
   * @param duration the duration
   * @param now the current time
   * @return whether the agent has been unreachable for longer
   */
  public boolean isUnreachableFor(Duration duration, Instant now) {
    return !linked && unlinkedSince.plus(duration).isBefore(now);
  }

  /**
   * Returns the incarnation that the agent sent on its last link.
   *
   * @return the incarnation, or 0 before the first link
   */
  public long incarnation() {
    return incarnation;
  }

  /**
   * Returns whether a link to the agent is open.
   *
   * @return whether messages can be sent to the agent
   */
  public boolean isLinked() {
    return linked;
  }

  /** Records that the agent accepts no new requests. */
  public void markLeaving() {
    leaving = true;
  }

  /**
   * Updates whether the agent is suspected to be leaving, according to the platform's host list.
   *
   * @param newSuspectedLeaving whether the agent's host is listed as leaving or no longer listed
   */
  public void updateSuspectedLeaving(boolean newSuspectedLeaving) {
    suspectedLeaving = newSuspectedLeaving;
  }

  /**
   * Returns whether new requests may be offered to the agent.
   *
   * @return whether the agent is linked, and neither leaving nor suspected to be
   */
  public boolean isAvailable() {
    return linked && !leaving && !suspectedLeaving;
  }

  /**
   * Applies a load report of the agent.
   *
   * @param report the report
   */
  public void applyLoadReport(LoadReport report) {
    loadReport = report;
    headroomByTier = Ints.toArray(report.headroomByTier());
    inverseWindowSize = 1.0 / report.windowSize();
    secondsPerRequest = secondsPerRequest(report);
    offeredSinceReport = 0;
  }

  /**
   * Returns the last load report of the agent.
   *
   * @return the report, which shows no load before the first one is received
   */
  public LoadReport loadReport() {
    return loadReport;
  }

  /** Records that a request was offered to the agent. */
  public void recordOffer() {
    outstanding++;
    offeredSinceReport++;
  }

  /** Records that an offered request has ended. */
  public void recordEnd() {
    outstanding--;
  }

  /**
   * Returns the number of this entry's requests at the agent.
   *
   * @return the number of outstanding requests
   */
  public int outstanding() {
    return outstanding;
  }

  /**
   * Returns the expected headroom for a request of a tier: the reported one, less the requests
   * offered since the report.
   *
   * @param tier the tier
   * @return the number of free slots; if it is not positive, 1 minus this number is the number of
   *     requests that must finish before a new one may be dispatched
   */
  public int expectedHeadroom(Tier tier) {
    return headroomByTier[Math.min(tier.rank(), headroomByTier.length - 1)] - offeredSinceReport;
  }

  /**
   * Returns the share of the dispatch window that is expected to be occupied.
   *
   * @return a number from 0 to 1
   */
  public double expectedOccupancy() {
    return Math.min(1, (loadReport.running() + offeredSinceReport) * inverseWindowSize);
  }

  /**
   * Returns the expected delay that each waiting request adds for those behind it.
   *
   * @return the mean work per request divided by the agent's rate, in seconds
   */
  public double secondsPerRequest() {
    return secondsPerRequest;
  }

  private static double secondsPerRequest(LoadReport report) {
    int requests = report.running() + report.waiting();
    double meanWork =
        requests == 0 ? DEFAULT_WORK_PER_REQUEST : (double) report.outstandingWork() / requests;
    double rate = report.workPerSecond() > 0 ? report.workPerSecond() : DEFAULT_WORK_PER_SECOND;
    return meanWork / rate;
  }
}
