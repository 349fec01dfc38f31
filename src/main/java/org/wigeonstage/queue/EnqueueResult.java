package org.wigeonstage.queue;

import org.jspecify.annotations.Nullable;

/**
 * The result of adding a request to the queue.
 *
 * @param accepted whether the request is now in the queue
 * @param displaced the request of a lower tier that was removed to make room, or null
 */
public record EnqueueResult(boolean accepted, @Nullable WaitingRequest displaced) {

  static final EnqueueResult REFUSED = new EnqueueResult(false, null);
  static final EnqueueResult ACCEPTED = new EnqueueResult(true, null);

  static EnqueueResult displacing(WaitingRequest displaced) {
    return new EnqueueResult(true, displaced);
  }
}
