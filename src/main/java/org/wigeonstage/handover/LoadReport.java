package org.wigeonstage.handover;

/**
 * What an agent says of its load with each heartbeat.
 *
 * @param running the requests at the backend server
 * @param window the most requests that may run at once
 * @param waiting the requests in the queue
 * @param work the estimated work of running and waiting requests, in output tokens
 * @param workPerSecond the work that the backend server got done lately, in output tokens a second
 * @param lowestWaitingRank the rank of the lowest tier that waits, or -1 where nothing waits
 */
public record LoadReport(
    int running, int window, int waiting, long work, double workPerSecond, int lowestWaitingRank) {

  /** The report of an idle agent. */
  public static final LoadReport IDLE = new LoadReport(0, 16, 0, 0, 0, -1);
}
