package org.wigeonstage.queue;

import org.jspecify.annotations.Nullable;

/**
 * The queue's answer to a request.
 *
 * @param accepted whether the request now waits
 * @param displaced a request of a lower tier that gave way to it, or null
 */
public record EnqueueResult(boolean accepted, @Nullable WaitingRequest displaced) {

  static final EnqueueResult REFUSED = new EnqueueResult(false, null);
  static final EnqueueResult ADMITTED = new EnqueueResult(true, null);

  static EnqueueResult displacing(WaitingRequest displaced) {
    return new EnqueueResult(true, displaced);
  }
}
