package org.wigeonstage.queue;

import java.util.Comparator;

/**
 * An entry of the queue.
 *
 * @param sequence the position in the order of arrival
 * @param request the waiting request
 */
record QueueEntry(long sequence, WaitingRequest request) {

  /** Orders entries by the start deadline: the latest time at which they may be dispatched. */
  static final Comparator<QueueEntry> BY_START_DEADLINE =
      Comparator.comparing((QueueEntry entry) -> entry.request().startBy())
          .thenComparingLong(QueueEntry::sequence);
}
