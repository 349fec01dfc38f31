package org.wigeonstage.load;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.request.Outcome;

/**
 * What a caller saw of one request. Times are from the moment the request was due.
 *
 * @param request the request
 * @param outcome what the caller was told, or {@code UNKNOWN} where the connection broke
 * @param firstPart when the first part of the answer came, or null
 * @param end when the answer ended
 * @param meanGap the mean time between two parts, or null for fewer than two parts
 * @param responseCorrect whether a completed request's answer was its own and whole
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

  /** Tells whether the request completed with its first part within its target. */
  boolean isGood() {
    Duration first = firstPart;
    return outcome == Outcome.COMPLETED
        && responseCorrect
        && first != null
        && first.toMillis() <= request.requestClass().firstPartTargetMillis();
  }
}
