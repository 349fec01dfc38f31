package org.wigeonstage.fuzz;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.wigeonstage.offer.SubmissionResult;
import org.wigeonstage.request.IdempotencyKey;
import org.wigeonstage.request.Outcome;
import org.wigeonstage.request.RequestId;
import org.wigeonstage.request.RequestSpec;

/**
 * Checks each guarantee against the observations of backend servers and callers, independently of
 * the classes under test.
 */
final class Oracle {

  /** A request and the observations of its caller. */
  static final class Caller {
    final RequestId id;
    final RequestSpec spec;

    /** The request with the same key that had been dispatched before the submission, or null. */
    final RequestId earlierExecution;

    final StringBuilder received = new StringBuilder();
    SubmissionResult result;
    boolean isDisconnected;

    Caller(RequestId id, RequestSpec spec, RequestId earlierExecution) {
      this.id = id;
      this.spec = spec;
      this.earlierExecution = earlierExecution;
    }
  }

  private final Map<RequestId, Caller> callers = new HashMap<>();
  private final Set<RequestId> dispatched = new HashSet<>();
  private final Map<String, RequestId> dispatchedKeys = new HashMap<>();
  private final Map<RequestId, StringBuilder> responses = new HashMap<>();
  private final Set<RequestId> completedResponses = new HashSet<>();
  final List<String> violations = new ArrayList<>();

  void recordSubmission(RequestId id, RequestSpec spec) {
    callers.put(id, new Caller(id, spec, executionOf(spec.key())));
  }

  private RequestId executionOf(IdempotencyKey key) {
    return key == null ? null : dispatchedKeys.get(key.claimName());
  }

  void recordDispatch(RequestId id, RequestSpec spec, boolean agentLeaving) {
    check(dispatched.add(id), "dispatched twice: " + id);
    check(!agentLeaving, "dispatched by a leaving agent: " + id);
    Caller caller = callers.get(id);
    boolean wasReportedNotRun =
        caller != null && caller.result != null && caller.result.outcome() == Outcome.NOT_RUN;
    check(!wasReportedNotRun, "dispatched after \"not run\": " + id);
    if (spec.key() != null) {
      RequestId earlier = dispatchedKeys.putIfAbsent(spec.key().claimName(), id);
      check(earlier == null, "key run twice: by " + earlier + " and " + id);
    }
    responses.put(id, new StringBuilder());
  }

  /** Undoes the record of a dispatch that is known not to have reached the backend server. */
  void undoDispatch(RequestId id, RequestSpec spec) {
    dispatched.remove(id);
    responses.remove(id);
    if (spec.key() != null) {
      dispatchedKeys.remove(spec.key().claimName());
    }
  }

  void recordResponsePart(RequestId id, String text) {
    responses.get(id).append(text);
  }

  void recordResponseCompleted(RequestId id) {
    completedResponses.add(id);
  }

  void recordReceived(RequestId id, String text) {
    callers.get(id).received.append(text);
  }

  void recordOutcome(RequestId id, SubmissionResult result) {
    Caller caller = callers.get(id);
    check(caller.result == null, "two outcomes: " + id);
    caller.result = result;
    if (result.outcome() == Outcome.NOT_RUN) {
      check(!dispatched.contains(id), "\"not run\" after dispatch: " + id);
      boolean keyHasRun =
          caller.earlierExecution != null
              && caller.earlierExecution.equals(executionOf(caller.spec.key()));
      check(!keyHasRun, "\"not run\" for a key that ran: " + id);
    } else if (result.equals(SubmissionResult.COMPLETED)) {
      checkResponse(caller);
    }
  }

  private void checkResponse(Caller caller) {
    RequestId execution = caller.id;
    if (caller.spec.key() != null) {
      execution = dispatchedKeys.getOrDefault(caller.spec.key().claimName(), execution);
    }
    check(
        completedResponses.contains(execution),
        "completed without a complete response: " + caller.id);
    String expected = String.valueOf(responses.get(execution));
    check(
        expected.contentEquals(caller.received),
        "wrong response: " + caller.id + " received " + caller.received + ", expected " + expected);
  }

  void checkOverloadRefusal(RequestSpec spec, int rankOfLowestWaitingTier) {
    check(
        rankOfLowestWaitingTier <= spec.tier().rank(),
        "request of rank "
            + spec.tier().rank()
            + " refused as overloaded while a request of rank "
            + rankOfLowestWaitingTier
            + " waits");
  }

  void recordDisconnect(RequestId id) {
    callers.get(id).isDisconnected = true;
  }

  /** Checks at the end of a history that every caller still connected received an outcome. */
  void checkAllFinished() {
    for (Caller caller : callers.values()) {
      check(caller.isDisconnected || caller.result != null, "no outcome: " + caller.id);
    }
  }

  private void check(boolean holds, String violation) {
    if (!holds) {
      violations.add(violation);
    }
  }
}
