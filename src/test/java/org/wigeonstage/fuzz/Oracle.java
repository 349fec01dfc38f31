package org.wigeonstage.fuzz;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.wigeonstage.dispatch.DispatchResult;
import org.wigeonstage.request.IdempotencyKey;
import org.wigeonstage.request.Outcome;
import org.wigeonstage.request.RequestId;
import org.wigeonstage.request.RequestSpec;

/**
 * Checks each promise against what backend servers and callers saw. It knows nothing of how the
 * decisions are made.
 */
final class Oracle {

  /** What one caller saw. */
  static final class Caller {
    final RequestId id;
    final RequestSpec spec;

    /** The request that ran under the key when this one was submitted, or null. */
    final RequestId ranBefore;

    final StringBuilder received = new StringBuilder();
    DispatchResult result;
    boolean gone;

    Caller(RequestId id, RequestSpec spec, RequestId ranBefore) {
      this.id = id;
      this.spec = spec;
      this.ranBefore = ranBefore;
    }
  }

  private final Map<RequestId, Caller> callers = new HashMap<>();
  private final Set<RequestId> dispatched = new HashSet<>();
  private final Map<String, RequestId> dispatchedKeys = new HashMap<>();
  private final Map<RequestId, StringBuilder> answers = new HashMap<>();
  private final Set<RequestId> wholeAnswers = new HashSet<>();
  final List<String> violations = new ArrayList<>();

  void submitted(RequestId id, RequestSpec spec) {
    callers.put(id, new Caller(id, spec, runUnder(spec.key())));
  }

  private RequestId runUnder(IdempotencyKey key) {
    return key == null ? null : dispatchedKeys.get(key.claimName());
  }

  void dispatched(RequestId id, RequestSpec spec, boolean agentLeaving) {
    check(dispatched.add(id), "dispatched twice: " + id);
    check(!agentLeaving, "dispatched by a leaving agent: " + id);
    Caller caller = callers.get(id);
    boolean toldNotRun =
        caller != null && caller.result != null && caller.result.outcome() == Outcome.NOT_RUN;
    check(!toldNotRun, "dispatched after \"not run\": " + id);
    if (spec.key() != null) {
      RequestId earlier = dispatchedKeys.putIfAbsent(spec.key().claimName(), id);
      check(earlier == null, "key run twice: by " + earlier + " and " + id);
    }
    answers.put(id, new StringBuilder());
  }

  /** Takes back a dispatch that provably never reached the backend server. */
  void neverReached(RequestId id, RequestSpec spec) {
    dispatched.remove(id);
    answers.remove(id);
    if (spec.key() != null) {
      dispatchedKeys.remove(spec.key().claimName());
    }
  }

  void answered(RequestId id, String text) {
    answers.get(id).append(text);
  }

  void answeredWholly(RequestId id) {
    wholeAnswers.add(id);
  }

  void received(RequestId id, String text) {
    callers.get(id).received.append(text);
  }

  void finished(RequestId id, DispatchResult result) {
    Caller caller = callers.get(id);
    check(caller.result == null, "two outcomes: " + id);
    caller.result = result;
    if (result.outcome() == Outcome.NOT_RUN) {
      check(!dispatched.contains(id), "\"not run\" after dispatch: " + id);
      boolean keyRan =
          caller.ranBefore != null && caller.ranBefore.equals(runUnder(caller.spec.key()));
      check(!keyRan, "\"not run\" for a key that ran: " + id);
    } else if (result.equals(DispatchResult.COMPLETED)) {
      checkAnswer(caller);
    }
  }

  private void checkAnswer(Caller caller) {
    RequestId execution = caller.id;
    if (caller.spec.key() != null) {
      execution = dispatchedKeys.getOrDefault(caller.spec.key().claimName(), execution);
    }
    check(wholeAnswers.contains(execution), "completed without an end: " + caller.id);
    String expected = String.valueOf(answers.get(execution));
    check(
        expected.contentEquals(caller.received),
        "wrong answer: " + caller.id + " got " + caller.received + " for " + expected);
  }

  void refusedAsOverloaded(RequestSpec spec, int lowestWaitingRank) {
    check(
        lowestWaitingRank <= spec.tier().rank(),
        "tier " + spec.tier().rank() + " shed while tier " + lowestWaitingRank + " waits");
  }

  void gone(RequestId id) {
    callers.get(id).gone = true;
  }

  /** Checks after all faults have ended that every caller who stayed knows its outcome. */
  void checkAllFinished() {
    for (Caller caller : callers.values()) {
      check(caller.gone || caller.result != null, "no outcome: " + caller.id);
    }
  }

  private void check(boolean holds, String violation) {
    if (!holds) {
      violations.add(violation);
    }
  }
}
