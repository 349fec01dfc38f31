package org.wigeonstage.offer;

import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.request.Outcome;

/**
 * The final result of a submission.
 *
 * @param outcome the outcome
 * @param reason the error code, or null if the caller has the complete response
 */
public record SubmissionResult(Outcome outcome, @Nullable ErrorCode reason) {

  /** The result of a request whose caller has the complete response. */
  public static final SubmissionResult COMPLETED = new SubmissionResult(Outcome.COMPLETED, null);

  /**
   * Returns the result of a submission whose request did not run.
   *
   * @param reason why it did not run
   * @return the result
   */
  public static SubmissionResult notRun(ErrorCode reason) {
    return new SubmissionResult(Outcome.NOT_RUN, reason);
  }

  /**
   * Returns the result of a submission whose request may have run.
   *
   * @param reason why the outcome is unknown
   * @return the result
   */
  public static SubmissionResult unknown(ErrorCode reason) {
    return new SubmissionResult(Outcome.UNKNOWN, reason);
  }
}
