package org.wigeonstage.dispatch;

import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.request.Outcome;

/**
 * What became of a request, and why.
 *
 * @param outcome the outcome
 * @param reason the error's code, or null where the caller has its whole answer
 */
public record DispatchResult(Outcome outcome, @Nullable ErrorCode reason) {

  /** The result of a request whose caller has its whole answer. */
  public static final DispatchResult COMPLETED = new DispatchResult(Outcome.COMPLETED, null);

  /**
   * Returns the result of a request that was dispatched nowhere.
   *
   * @param reason why
   * @return the result
   */
  public static DispatchResult notRun(ErrorCode reason) {
    return new DispatchResult(Outcome.NOT_RUN, reason);
  }

  /**
   * Returns the result of a request that may have run.
   *
   * @param reason why it is not known
   * @return the result
   */
  public static DispatchResult unknown(ErrorCode reason) {
    return new DispatchResult(Outcome.UNKNOWN, reason);
  }
}
