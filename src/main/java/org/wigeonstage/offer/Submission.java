package org.wigeonstage.offer;

import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.request.RequestId;
import org.wigeonstage.request.RequestSpec;
import org.wigeonstage.routing.AgentState;

/** One submission of a request at an entry, and the agent that has it. */
final class Submission {

  /** The phases of a submission at an entry. */
  enum Phase {
    /** No agent has the request. */
    ROUTING,
    /** The request was offered to an agent, which may have dispatched it. */
    OFFERED,
    /**
     * The agent has reported that it has dispatched the request, or that the request can no longer
     * be withdrawn.
     */
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
  private boolean callerDisconnected;
  private boolean headReceived;
  private long receivedBytes;

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

  /** Returns the agent that has the request, or null while it is being routed. */
  @Nullable AgentState agent() {
    return agent;
  }

  /** Returns the incarnation of the agent at the time of the last offer. */
  long incarnation() {
    return incarnation;
  }

  boolean isHeldBy(String agentName) {
    AgentState current = agent;
    return current != null && current.name().equals(agentName);
  }

  void recordOffer(AgentState target, Instant now) {
    agent = target;
    offeredAt = now;
    incarnation = target.incarnation();
    phase = Phase.OFFERED;
    target.recordOffer();
  }

  void markDispatched() {
    phase = Phase.DISPATCHED;
    withdrawnAt = null;
  }

  void recordRefusal(ErrorCode reason) {
    AgentState current = agent;
    if (current != null) {
      refusedBy.add(current.name());
    }
    lastRefusal = reason;
    releaseAgent();
    phase = Phase.ROUTING;
    withdrawnAt = null;
  }

  void releaseAgent() {
    AgentState current = agent;
    if (current != null) {
      current.recordEnd();
      agent = null;
    }
  }

  boolean wasRefusedBy(AgentState candidate) {
    return refusedBy.contains(candidate.name());
  }

  /** Returns the number of agents that have refused the request. */
  int refusals() {
    return refusedBy.size();
  }

  ErrorCode lastRefusal() {
    return lastRefusal;
  }

  @Nullable Instant withdrawnAt() {
    return withdrawnAt;
  }

  void markWithdrawn(Instant now) {
    withdrawnAt = now;
  }

  Instant offeredAt() {
    return offeredAt;
  }

  boolean isCallerDisconnected() {
    return callerDisconnected;
  }

  void markCallerDisconnected() {
    callerDisconnected = true;
  }

  boolean isHeadReceived() {
    return headReceived;
  }

  void markHeadReceived() {
    headReceived = true;
  }

  long receivedBytes() {
    return receivedBytes;
  }

  void addReceivedBytes(long count) {
    receivedBytes += count;
  }
}
