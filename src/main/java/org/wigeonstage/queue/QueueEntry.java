package org.wigeonstage.queue;

import java.util.Comparator;

/**
 * An entry of the queue.
 *
 * @param sequence the position in the order of arrival
 * @param request the waiting request
 */
record QueueEntry(long sequence, WaitingRequest request) {

  /** Orders entries by their latest start, after which they must not be dispatched. */
  static final Comparator<QueueEntry> BY_LATEST_START =
      Comparator.comparing((QueueEntry entry) -> entry.request().startBy())
          .thenComparingLong(QueueEntry::sequence);
}
