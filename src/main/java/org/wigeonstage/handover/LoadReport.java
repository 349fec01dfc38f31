package org.wigeonstage.handover;

import java.util.Collections;
import java.util.List;

/**
 * What an agent says of its load with each heartbeat.
 *
 * @param running the requests at the backend server
 * @param windowSize the most requests that may run at once
 * @param waiting the requests in the queue
 * @param outstandingWork the estimated work of running and waiting requests, in output tokens
 * @param workPerSecond the work that the backend server got done lately, in output tokens a second
 * @param lowestWaitingRank the rank of the lowest tier that waits, or -1 where nothing waits
 * @param headroomByTier for each tier from the highest on: the free places in its part of the
 *     window, or, as a negative number, how many requests wait before a new one of that tier
 */
public record LoadReport(
    int running,
    int windowSize,
    int waiting,
    long outstandingWork,
    double workPerSecond,
    int lowestWaitingRank,
    List<Integer> headroomByTier) {

  /** The number of tiers that a report has room for; lower ones share the last. */
  public static final int REPORTED_TIERS = 8;

  private static final int ASSUMED_WINDOW = 16;

  /** The report that is assumed of an agent that has given none. */
  public static final LoadReport IDLE =
      new LoadReport(
          0, ASSUMED_WINDOW, 0, 0, 0, -1, Collections.nCopies(REPORTED_TIERS, ASSUMED_WINDOW));

  /** Makes the list immutable. */
  public LoadReport {
    headroomByTier = List.copyOf(headroomByTier);
  }
}
