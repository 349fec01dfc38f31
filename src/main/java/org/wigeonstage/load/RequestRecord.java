package org.wigeonstage.load;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.request.Outcome;

/**
 * What a caller observed of one request. Times are measured from when the request was due.
 *
 * @param request the request
 * @param outcome what the caller was told, or {@code UNKNOWN} if the connection broke
 * @param firstPart when the first part of the response arrived, or null if none did
 * @param end when the response ended
 * @param meanGap the mean time between two received pieces of the body, or null for fewer than two
 * @param responseCorrect whether a completed request got its own, complete response
 * @param code the error's code, or null
 */
record RequestRecord(
    PlannedRequest request,
    Outcome outcome,
    @Nullable Duration firstPart,
    Duration end,
    @Nullable Duration meanGap,
    boolean responseCorrect,
    @Nullable String code) {

  /** Returns whether the request completed correctly with its first part within its target. */
  boolean isGood() {
    Duration first = firstPart;
    return outcome == Outcome.COMPLETED
        && responseCorrect
        && first != null
        && first.toMillis() <= request.requestClass().firstPartTargetMillis();
  }
}
