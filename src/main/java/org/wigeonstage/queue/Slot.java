package org.wigeonstage.queue;

import java.util.Comparator;

/**
 * A place in the queue.
 *
 * @param sequence the number of the arrival, growing
 * @param request the request that waits
 */
record Slot(long sequence, WaitingRequest request) {

  /** Orders slots by the time until which their requests may start. */
  static final Comparator<Slot> BY_DEADLINE =
      Comparator.comparing((Slot slot) -> slot.request().startBy())
          .thenComparingLong(Slot::sequence);
}
