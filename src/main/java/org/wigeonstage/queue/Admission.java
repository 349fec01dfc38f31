package org.wigeonstage.queue;

import org.jspecify.annotations.Nullable;

/**
 * The queue's answer to a request.
 *
 * @param admitted whether the request now waits
 * @param displaced a request of a lower tier that gave way to it, or null
 */
public record Admission(boolean admitted, @Nullable WaitingRequest displaced) {

  static final Admission REFUSED = new Admission(false, null);
  static final Admission ADMITTED = new Admission(true, null);

  static Admission displacing(WaitingRequest displaced) {
    return new Admission(true, displaced);
  }
}
