package org.wigeonstage.forward;

/**
 * Decides how a request continues after an attempt ended without a complete response.
 *
 * <p>A request that must not run twice is retried only if the earlier attempts certainly did not
 * run. The response says that a request did not run only if no attempt can have run.
 */
public final class AttemptPolicy {

  private AttemptPolicy() {}

  /**
   * Returns the next step for a request. After its deadline, a request is neither retried nor
   * resumed.
   *
   * @param failure how the attempt ended
   * @param context the state of the request
   * @return the next step
   */
  public static Verdict decide(AttemptFailure failure, AttemptContext context) {
    if (context.hasResponseStarted()) {
      return decideAfterStart(failure, context);
    }
    boolean isSafeToRetry =
        context.mayRunMoreThanOnce() || (failure.certainlyDidNotRun() && !context.mayHaveRun());
    if (context.hasRetriesLeft() && isSafeToRetry && failure != AttemptFailure.TIMED_OUT) {
      return Verdict.RETRY;
    }
    return switch (failure) {
      case NOT_SENT, DECLINED, MISDIRECTED ->
          context.mayHaveRun() ? Verdict.REPORT_UNKNOWN : Verdict.REFUSE;
      case FAILED -> Verdict.PASS_ON;
      case TIMED_OUT -> Verdict.REPORT_TIMEOUT;
      case LOST, INVALID, INVALID_STATUS, CUT -> Verdict.REPORT_UNKNOWN;
    };
  }

  private static Verdict decideAfterStart(AttemptFailure failure, AttemptContext context) {
    boolean canResume =
        context.isStream() && context.mayRunMoreThanOnce() && context.hasRetriesLeft();
    return canResume && failure != AttemptFailure.TIMED_OUT ? Verdict.RESUME : Verdict.BREAK_OFF;
  }
}
