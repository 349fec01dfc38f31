package org.wigeonstage.routing;

import com.google.common.primitives.Ints;
import java.time.Duration;
import java.time.Instant;
import org.wigeonstage.handover.LoadReport;
import org.wigeonstage.request.Tier;

/** What an entry knows of one agent. Not safe for use by several threads. */
public final class AgentState {

  /** The rate, in output tokens a second, that is assumed of an agent that has reported none. */
  private static final double ASSUMED_WORK_PER_SECOND = 400;

  /** The work, in output tokens, that is assumed of a request where none is reported. */
  private static final double ASSUMED_WORK = 128;

  private final String name;
  private final String failureDomain;
  private final long nameHash;
  private LoadReport load = LoadReport.IDLE;

  /** The report's room by tier, in an array because each routing decision reads it. */
  private int[] room = Ints.toArray(LoadReport.IDLE.headroomByTier());

  private double placesInverse = 1.0 / LoadReport.IDLE.windowSize();
  private double secondsPerRequest = secondsPerRequest(LoadReport.IDLE);

  private long incarnation;
  private boolean linked;
  private Instant unlinkedSince = Instant.EPOCH;
  private boolean leaving;
  private boolean suspected;
  private int outstanding;
  private int offeredSinceReport;

  /**
   * Creates the state of an agent without a connection.
   *
   * @param name the agent's name
   * @param failureDomain the failure domain of its host
   */
  public AgentState(String name, String failureDomain) {
    this.name = name;
    this.failureDomain = failureDomain;
    this.nameHash = RendezvousHash.hash(name);
  }

  /**
   * Returns the agent's name.
   *
   * @return the name
   */
  public String name() {
    return name;
  }

  /**
   * Returns the failure domain of the agent's host.
   *
   * @return the failure domain's name
   */
  public String failureDomain() {
    return failureDomain;
  }

  long nameHash() {
    return nameHash;
  }

  /**
   * Notes that a connection to the agent is open.
   *
   * @param newIncarnation the agent's incarnation
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
   * Notes that no connection to the agent is open.
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
   * Tells whether no connection to the agent has been open for a time.
   *
   * @param time the time
   * @param now the current time
   * @return whether the agent has been out of reach for longer
   */
  public boolean isUnreachableFor(Duration time, Instant now) {
    return !linked && unlinkedSince.plus(time).isBefore(now);
  }

  /**
   * Returns the incarnation that the agent gave on its last connection.
   *
   * @return the incarnation, or 0 before the first connection
   */
  public long incarnation() {
    return incarnation;
  }

  /**
   * Tells whether a connection to the agent is open.
   *
   * @return whether messages can be sent
   */
  public boolean isLinked() {
    return linked;
  }

  /** Notes that the agent takes no new requests. */
  public void leave() {
    leaving = true;
  }

  /**
   * Notes what the platform's list of hosts says of the agent's host.
   *
   * @param value whether the host is listed as leaving or not listed any more
   */
  public void updateSuspected(boolean value) {
    suspected = value;
  }

  /**
   * Tells whether new requests may be offered to the agent.
   *
   * @return whether the agent is connected and neither leaving nor suspected to be
   */
  public boolean isAvailable() {
    return linked && !leaving && !suspected;
  }

  /**
   * Takes a report of the agent's load.
   *
   * @param report the report
   */
  public void applyLoadReport(LoadReport report) {
    load = report;
    room = Ints.toArray(report.headroomByTier());
    placesInverse = 1.0 / report.windowSize();
    secondsPerRequest = secondsPerRequest(report);
    offeredSinceReport = 0;
  }

  /**
   * Returns the agent's last report of its load.
   *
   * @return the report
   */
  public LoadReport loadReport() {
    return load;
  }

  /** Notes that a request was offered to the agent. */
  public void offered() {
    outstanding++;
    offeredSinceReport++;
  }

  /** Notes that an offered request has ended. */
  public void ended() {
    outstanding--;
  }

  /**
   * Returns the number of this entry's requests at the agent.
   *
   * @return the number
   */
  public int outstanding() {
    return outstanding;
  }

  /**
   * Returns the room expected for a request of a tier: as reported, less what was offered since.
   *
   * @param tier the tier
   * @return free places, or, as a negative number, the requests that wait before it
   */
  public int expectedRoom(Tier tier) {
    return room[Math.min(tier.rank(), room.length - 1)] - offeredSinceReport;
  }

  /**
   * Returns the share of the window that is expected to be taken.
   *
   * @return a number from 0 to 1
   */
  public double expectedOccupancy() {
    return Math.min(1, (load.running() + offeredSinceReport) * placesInverse);
  }

  /**
   * Returns the time that one waiting request is expected to take from the others.
   *
   * @return the mean work by the agent's rate, in seconds
   */
  public double secondsPerRequest() {
    return secondsPerRequest;
  }

  private static double secondsPerRequest(LoadReport load) {
    int requests = load.running() + load.waiting();
    double meanWork = requests == 0 ? ASSUMED_WORK : (double) load.outstandingWork() / requests;
    double rate = load.workPerSecond() > 0 ? load.workPerSecond() : ASSUMED_WORK_PER_SECOND;
    return meanWork / rate;
  }
}
