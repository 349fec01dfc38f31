package org.wigeonstage.dispatch;

import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.request.RequestId;
import org.wigeonstage.request.RequestSpec;
import org.wigeonstage.routing.AgentState;

/** One caller's request on its way through an entry. */
final class Submission {

  /** The steps of a request at its entry. */
  enum Phase {
    /** No agent has the request. */
    ROUTING,
    /** One agent may have the request, and may dispatch it. */
    OFFERED,
    /** The agent has dispatched the request. */
    DISPATCHED
  }

  private final RequestId id;
  private final RequestSpec spec;
  private final Instant startBy;
  private final Instant finishBy;
  private final Set<String> refusedBy = new HashSet<>();
  private Phase phase = Phase.ROUTING;
  private @Nullable AgentState agent;
  private long incarnation;
  private ErrorCode lastRefusal = ErrorCode.NO_BACKEND_SERVER;
  private @Nullable Instant withdrawnAt;
  private Instant offeredAt = Instant.EPOCH;
  private boolean callerGone;
  private boolean headSeen;
  private long received;

  Submission(RequestId id, RequestSpec spec, Instant startBy, Instant finishBy) {
    this.id = id;
    this.spec = spec;
    this.startBy = startBy;
    this.finishBy = finishBy;
  }

  RequestId id() {
    return id;
  }

  RequestSpec spec() {
    return spec;
  }

  Instant startBy() {
    return startBy;
  }

  Instant finishBy() {
    return finishBy;
  }

  Phase phase() {
    return phase;
  }

  @Nullable AgentState agent() {
    return agent;
  }

  long incarnation() {
    return incarnation;
  }

  boolean isAt(String agentName) {
    AgentState current = agent;
    return current != null && current.name().equals(agentName);
  }

  void offerTo(AgentState target, Instant now) {
    agent = target;
    offeredAt = now;
    incarnation = target.incarnation();
    phase = Phase.OFFERED;
    target.offered();
  }

  void dispatched() {
    phase = Phase.DISPATCHED;
    withdrawnAt = null;
  }

  void refused(ErrorCode reason) {
    AgentState current = agent;
    if (current != null) {
      refusedBy.add(current.name());
    }
    lastRefusal = reason;
    release();
    phase = Phase.ROUTING;
    withdrawnAt = null;
  }

  /** Ends the agent's share in the request. */
  void release() {
    AgentState current = agent;
    if (current != null) {
      current.ended();
      agent = null;
    }
  }

  boolean wasRefusedBy(AgentState candidate) {
    return refusedBy.contains(candidate.name());
  }

  int refusals() {
    return refusedBy.size();
  }

  ErrorCode lastRefusal() {
    return lastRefusal;
  }

  @Nullable Instant withdrawnAt() {
    return withdrawnAt;
  }

  void withdrawnAt(Instant time) {
    withdrawnAt = time;
  }

  Instant offeredAt() {
    return offeredAt;
  }

  boolean isCallerGone() {
    return callerGone;
  }

  void callerGone() {
    callerGone = true;
  }

  boolean isHeadSeen() {
    return headSeen;
  }

  void headSeen() {
    headSeen = true;
  }

  long received() {
    return received;
  }

  void received(long bytes) {
    received += bytes;
  }
}
