package org.wigeonstage.handover;

import java.util.Collections;
import java.util.List;

/**
 * The load of an agent, which it reports with each heartbeat.
 *
 * @param running the number of requests at the backend server
 * @param windowSize the maximum number of requests that may run at once
 * @param waiting the number of requests in the queue
 * @param outstandingWork the estimated work of running and waiting requests, in output tokens
 * @param workPerSecond the recent rate of completed work, in output tokens per second; 0 if unknown
 * @param rankOfLowestWaitingTier the rank of the lowest tier with a waiting request; rank 0 is the
 *     highest tier; -1 if no request waits
 * @param headroomByTier the free slots for each tier, starting with the highest: the number of
 *     requests that may run at once for the tier, minus the running requests and the waiting
 *     requests of this and higher tiers; if it is 0 or less, {@code 1 - value} requests must finish
 *     before a new one of the tier is dispatched
 */
public record LoadReport(
    int running,
    int windowSize,
    int waiting,
    long outstandingWork,
    double workPerSecond,
    int rankOfLowestWaitingTier,
    List<Integer> headroomByTier) {

  /** The number of tiers in a report; lower tiers use the value of the last one. */
  public static final int REPORTED_TIERS = 8;

  private static final int ASSUMED_WINDOW_SIZE = 16;

  /** The load that is assumed for an agent that has not sent a report yet. */
  public static final LoadReport IDLE =
      new LoadReport(
          0,
          ASSUMED_WINDOW_SIZE,
          0,
          0,
          0,
          -1,
          Collections.nCopies(REPORTED_TIERS, ASSUMED_WINDOW_SIZE));

  /** Creates a report with a copy of the list. */
  public LoadReport {
    headroomByTier = List.copyOf(headroomByTier);
  }
}
