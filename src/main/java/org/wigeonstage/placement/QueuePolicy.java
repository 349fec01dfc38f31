package org.wigeonstage.placement;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which requests are refused because they would wait too long for a slot.
 *
 * <p>The expected waits count only the time in which this process could start requests. A queue
 * that is long because the process is late says nothing about the pool.
 */
final class QueuePolicy {

  /** A waiting request is refused only if it would start too late even this many times faster. */
  private static final int EARLY_REFUSAL_FACTOR = 2;

  private final WaitingRequests waitingRequests;
  private final StartRateEstimator startRates;

  QueuePolicy(WaitingRequests waitingRequests, StartRateEstimator startRates) {
    this.waitingRequests = waitingRequests;
    this.startRates = startRates;
  }

  /** Returns the expected time until all waiting requests of an urgency have started. */
  Duration expectedWait(Urgency urgency, Duration now) {
    return startRates.expectedTimeToStart(waitingRequests.queue(urgency).size(), urgency, now);
  }

  /** Returns the expected time until one more request of an urgency has started. */
  Duration expectedWaitOfNext(Urgency urgency, Duration now) {
    int count = waitingRequests.queue(urgency).size() + 1;
    return startRates.expectedTimeToStart(count, urgency, now);
  }

  /**
   * Returns whether a new request is not expected to start in time. One that was placed before is
   * always accepted: its caller may have part of the response, and loses nothing by waiting.
   */
  boolean isTooLongFor(PlacementRequest request, Duration now) {
    return !request.wasPlacedBefore()
        && now.plus(expectedWaitOfNext(request.urgency(), now)).compareTo(request.waitsUntil()) > 0;
  }

  /**
   * Removes and returns the waiting requests that are not expected to start in time, with the times
   * that they would have to wait, except the head of each queue and those that were placed before.
   * Needed when more urgent requests arrive later and occupy every slot from then on.
   */
  Map<PlacementRequest, Duration> removeHopeless(Duration now) {
    Map<PlacementRequest, Duration> removed = new LinkedHashMap<>();
    waitingRequests
        .queues()
        .forEach(
            (urgency, queue) -> {
              if (queue.size() > 1) {
                removeHopeless(queue, now, removed);
              }
            });
    return removed;
  }

  private void removeHopeless(
      List<PlacementRequest> queue, Duration now, Map<PlacementRequest, Duration> removed) {
    Duration queueWait = expectedWait(queue.get(0).urgency(), now);
    int size = queue.size();
    for (int i = size - 1; i > 0; i--) {
      Duration wait = queueWait.multipliedBy(i + 1L).dividedBy(size);
      PlacementRequest request = queue.get(i);
      Duration earliestStart = now.plus(wait.dividedBy(EARLY_REFUSAL_FACTOR));
      if (!request.wasPlacedBefore() && earliestStart.compareTo(request.waitsUntil()) > 0) {
        queue.remove(i);
        removed.put(request, wait);
      }
    }
  }
}
