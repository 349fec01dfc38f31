package org.wigeonstage.forward;

/**
 * Decides what becomes of a request whose attempt ended without a whole answer.
 *
 * <p>Requests that may not repeat are sent again only where the earlier attempt certainly has not
 * run. A refusal is given only where no attempt can have run.
 */
public final class AttemptPolicy {

  private AttemptPolicy() {}

  /**
   * Decides.
   *
   * @param end how the attempt ended
   * @param context the state of the request
   * @return what to do
   */
  public static Verdict decide(AttemptFailure end, AttemptContext context) {
    if (context.hasStarted()) {
      return decideAfterStart(end, context);
    }
    boolean isRepeatable = context.mayRetry() || (end.isNotRun() && !context.mayHaveRun());
    if (context.hasRetriesLeft() && isRepeatable && end != AttemptFailure.TIMED_OUT) {
      return Verdict.RETRY;
    }
    return switch (end) {
      case NOT_SENT, DECLINED, MISDIRECTED ->
          context.mayHaveRun() ? Verdict.REPORT_UNKNOWN : Verdict.REFUSE;
      case FAILED -> Verdict.PASS_ON;
      case TIMED_OUT -> Verdict.REPORT_TIMEOUT;
      case LOST, INVALID, CUT -> Verdict.REPORT_UNKNOWN;
    };
  }

  private static Verdict decideAfterStart(AttemptFailure end, AttemptContext context) {
    boolean canResume = context.isStream() && context.mayRetry() && context.hasRetriesLeft();
    return canResume && end != AttemptFailure.TIMED_OUT ? Verdict.RESUME : Verdict.BREAK_OFF;
  }
}
