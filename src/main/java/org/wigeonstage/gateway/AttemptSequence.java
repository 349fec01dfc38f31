package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.Optional;
import org.wigeonstage.forward.AttemptContext;
import org.wigeonstage.forward.AttemptFailure;
import org.wigeonstage.forward.AttemptPolicy;
import org.wigeonstage.forward.ResponseFields;
import org.wigeonstage.forward.Verdict;
import org.wigeonstage.http.ResponseHead;
import org.wigeonstage.routes.Route;
import org.wigeonstage.routes.RouteKind;

/** Counts the attempts to forward a request, and decides how it continues when one has failed. */
final class AttemptSequence {

  /** Minimum remaining time for which another attempt is worthwhile. */
  private static final Duration MIN_ATTEMPT_TIME = Duration.ofMillis(60);

  private final GatewayCore core;
  private final Route route;
  private final String poolName;
  private final Duration deadline;
  private final CallerResponse response;
  private int count;
  private boolean mayHaveRun;

  /** Whether it is not recorded yet how the current attempt has ended. */
  private boolean isCurrentOpen;

  AttemptSequence(
      GatewayCore core, Route route, String poolName, Duration deadline, CallerResponse response) {
    this.core = core;
    this.route = route;
    this.poolName = poolName;
    this.deadline = deadline;
    this.response = response;
  }

  /** Returns the number of attempts, including the current one. */
  int count() {
    return count;
  }

  void recordStart() {
    count++;
    isCurrentOpen = true;
  }

  /** Records that nothing was sent in the current attempt, so that it does not count. */
  void recordNotSent() {
    count--;
    isCurrentOpen = false;
  }

  void recordEnd(AttemptFailure failure) {
    mayHaveRun |= !failure.certainlyDidNotRun();
    isCurrentOpen = false;
  }

  /** Records that the current attempt is cancelled; has no effect if it has ended before. */
  void recordCancellation(boolean isUnsent) {
    if (isCurrentOpen && isUnsent) {
      recordNotSent();
    } else if (isCurrentOpen) {
      recordEnd(AttemptFailure.LOST);
    }
  }

  /** Returns how the attempt failed, if so; a server error is forwarded unless it is retried. */
  Optional<AttemptFailure> failureOf(
      ResponseHead head, ResponseFields fields, String requestId, boolean usesNewConnection) {
    Optional<AttemptFailure> failure =
        ResponseClassifier.failureOf(head, fields, requestId, usesNewConnection);
    if (failure.isPresent()) {
      return failure;
    }
    if (ResponseClassifier.isServerError(head)
        && (response.hasStarted() || tryAcquireRetryAfterError())) {
      return Optional.of(AttemptFailure.FAILED);
    }
    boolean canContinue = ResponseClassifier.isSuccess(head) && response.isStream();
    return response.hasStarted() && !canContinue
        ? Optional.of(AttemptFailure.INVALID)
        : Optional.empty();
  }

  /** Returns whether the request may have run in any attempt. */
  boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Returns whether the request may run once more, and another attempt is allowed. */
  boolean canRunAgain() {
    return route.mayRunMoreThanOnce() && hasAttemptsLeft();
  }

  private boolean tryAcquireRetryAfterError() {
    return canRunAgain() && core.tryAcquireRetry(poolName);
  }

  /** Decides how the request continues, and acquires a retry from the budget if needed. */
  Verdict decide(AttemptFailure failure) {
    // For a server error before the start of the response, the retry was acquired with the head.
    boolean isAcquired = failure == AttemptFailure.FAILED && !response.hasStarted();
    boolean needsNoBudget = failure == AttemptFailure.NOT_SENT || isAcquired;
    boolean hasRetriesLeft =
        hasAttemptsLeft() && deadline.minus(core.now()).compareTo(MIN_ATTEMPT_TIME) > 0;
    Verdict preferred = AttemptPolicy.decide(failure, context(hasRetriesLeft));
    if (!isRetry(preferred) || needsNoBudget || core.tryAcquireRetry(poolName)) {
      return preferred;
    }
    if (preferred == Verdict.RESUME) {
      return Verdict.RESUME_LATER;
    }
    return AttemptPolicy.decide(failure, context(false));
  }

  /** Returns whether the request would be retried if the budget allowed it. */
  boolean wouldRetry(AttemptFailure failure) {
    return isRetry(AttemptPolicy.decide(failure, context(hasAttemptsLeft())));
  }

  static boolean isRetry(Verdict verdict) {
    return verdict == Verdict.RETRY || verdict == Verdict.RESUME;
  }

  private boolean hasAttemptsLeft() {
    return count < route.maxAttempts();
  }

  private AttemptContext context(boolean hasRetriesLeft) {
    return new AttemptContext(
        route.mayRunMoreThanOnce(),
        route.kind() == RouteKind.STREAMING,
        response.hasStarted(),
        mayHaveRun,
        hasRetriesLeft);
  }
}
