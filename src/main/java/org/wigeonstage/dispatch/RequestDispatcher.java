package org.wigeonstage.dispatch;

import java.time.Instant;
import java.time.InstantSource;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.dispatch.Submission.Phase;
import org.wigeonstage.handover.Message;
import org.wigeonstage.request.IdempotencyKey;
import org.wigeonstage.request.Outcome;
import org.wigeonstage.request.RequestId;
import org.wigeonstage.request.RequestSpec;
import org.wigeonstage.routing.AgentState;
import org.wigeonstage.routing.Router;

/**
 * Decides what one entry does with the requests of its callers.
 *
 * <p>At any time at most one agent has a request. Only an agent's {@link Message.Refused} lets the
 * dispatcher offer the request to another one or tell the caller that it did not run. The
 * dispatcher does no input or output and starts no thread; callers must not use it from several
 * threads at once.
 */
public final class RequestDispatcher {

  private static final int DEMANDED_LINKS = 2;

  private final DispatcherLimits limits;
  private final AgentDirectory directory;
  private final Router router;
  private final InstantSource clock;
  private final DispatcherEffects effects;
  private final Map<RequestId, Submission> submissions = new HashMap<>();

  /**
   * Creates a dispatcher without requests.
   *
   * @param limits the bounds of waiting and of attempts
   * @param directory the agents
   * @param router the choice among them
   * @param clock the wall clock
   * @param effects what the dispatcher's decisions cause
   */
  public RequestDispatcher(
      DispatcherLimits limits,
      AgentDirectory directory,
      Router router,
      InstantSource clock,
      DispatcherEffects effects) {
    this.limits = limits;
    this.directory = directory;
    this.router = router;
    this.clock = clock;
    this.effects = effects;
  }

  /**
   * Takes a caller's request.
   *
   * @param id the request's identifier, never used before
   * @param spec the request
   * @param startBy the time after which the request must not be dispatched
   * @param finishBy the time until which the caller waits for its whole answer
   */
  public void submit(RequestId id, RequestSpec spec, Instant startBy, Instant finishBy) {
    Submission submission = new Submission(id, spec, startBy, finishBy);
    submissions.put(id, submission);
    route(submission);
  }

  private void route(Submission submission) {
    if (submission.startBy().isBefore(clock.instant())) {
      finishUnrouted(submission);
      return;
    }
    if (submission.refusals() >= limits.maxOffers()) {
      finish(submission, DispatchResult.notRun(submission.lastRefusal()));
      return;
    }
    chooseAgent(submission).ifPresent(agent -> offer(submission, agent));
  }

  private Optional<AgentState> chooseAgent(Submission submission) {
    RequestSpec spec = submission.spec();
    IdempotencyKey key = spec.key();
    if (key != null) {
      return chooseHome(spec.pool(), key);
    }
    List<AgentState> candidates = candidatesFor(submission).toList();
    if (candidates.isEmpty() && submission.refusals() > 0) {
      finish(submission, DispatchResult.notRun(submission.lastRefusal()));
      return Optional.empty();
    }
    if (candidates.isEmpty()) {
      demandOthers(submission.id(), directory.agentsOf(spec.pool()));
    }
    return router.choose(spec, candidates);
  }

  private Stream<AgentState> candidatesFor(Submission submission) {
    return directory.agentsOf(submission.spec().pool()).stream()
        .filter(AgentState::isAvailable)
        .filter(agent -> !submission.wasRefusedBy(agent));
  }

  /**
   * Opens some connections beyond the live ones, none of which leads to an available agent. The
   * request's identifier spreads them.
   */
  private void demandOthers(RequestId id, List<AgentState> agents) {
    List<AgentState> others = agents.stream().filter(agent -> !agent.isLinked()).toList();
    for (int i = 0; i < Math.min(DEMANDED_LINKS, others.size()); i++) {
      int index = Math.floorMod(id.hashCode() + i, others.size());
      effects.connect(others.get(index).name());
    }
  }

  /** Returns the only agent that may decide about a key, once it is connected. */
  private Optional<AgentState> chooseHome(String pool, IdempotencyKey key) {
    Optional<AgentState> home = directory.homeOf(pool, key);
    home.filter(agent -> !agent.isLinked()).ifPresent(agent -> effects.connect(agent.name()));
    return home.filter(AgentState::isLinked);
  }

  private void offer(Submission submission, AgentState agent) {
    submission.offerTo(agent, clock.instant());
    effects.send(
        agent.name(),
        new Message.Offer(
            submission.id(),
            agent.incarnation(),
            submission.startBy(),
            !agent.isAvailable(),
            directory.membersChangedAtMillis(submission.spec().pool()),
            submission.spec()));
  }

  /** Ends a request that no agent has. */
  private void finishUnrouted(Submission submission) {
    if (submission.refusals() > 0) {
      finish(submission, DispatchResult.notRun(submission.lastRefusal()));
    } else if (submission.spec().key() != null) {
      finish(submission, DispatchResult.unknown(ErrorCode.KEY_HOME_UNREACHABLE));
    } else {
      finish(submission, DispatchResult.notRun(ErrorCode.NO_BACKEND_SERVER));
    }
  }

  private void finish(Submission submission, DispatchResult result) {
    submission.release();
    submissions.remove(submission.id());
    if (!submission.isCallerGone()) {
      effects.finish(submission.id(), result);
    }
  }

  /**
   * Takes a message from an agent. Messages about requests that the agent does not have are
   * ignored.
   *
   * @param agent the agent's name
   * @param message the message
   */
  public void receive(String agent, Message message) {
    if (message instanceof Message.Pong pong) {
      report(agent, pong);
    } else if (message instanceof Message.Leaving) {
      leaving(agent);
    } else if (message instanceof Message.RequestMessage about) {
      Submission submission = submissions.get(about.id());
      if (submission != null && submission.isAt(agent)) {
        receive(submission, about);
      }
    }
  }

  private void report(String agentName, Message.Pong pong) {
    AgentState agent = directory.agent(agentName);
    if (agent != null) {
      agent.applyLoadReport(pong.load());
    }
  }

  private void leaving(String agentName) {
    AgentState agent = directory.agent(agentName);
    if (agent != null) {
      agent.leave();
    }
  }

  private void receive(Submission submission, Message.RequestMessage message) {
    if (message instanceof Message.Refused refused) {
      refused(submission, refused.reason());
    } else if (message instanceof Message.Rejected rejected) {
      finish(submission, new DispatchResult(rejected.outcome(), rejected.reason()));
    } else if (message instanceof Message.Dispatched) {
      submission.dispatched();
    } else if (message instanceof Message.Head head) {
      began(submission, head);
    } else if (message instanceof Message.Chunk chunk) {
      continued(submission, chunk);
    } else if (message instanceof Message.End end) {
      ended(submission, end);
    }
  }

  private void refused(Submission submission, ErrorCode reason) {
    submission.refused(reason);
    if (submission.isCallerGone()) {
      finish(submission, DispatchResult.notRun(ErrorCode.CALLER_GONE));
    } else if (submission.spec().key() != null) {
      finish(submission, keyedRefusal(reason));
    } else {
      route(submission);
    }
  }

  /** A keyed request may have run before, unless the agent has checked the key's history. */
  private static DispatchResult keyedRefusal(ErrorCode reason) {
    return switch (reason) {
      case OVERLOADED, LEAVING, DEADLINE, WITHDRAWN, NO_BACKEND_SERVER, CALLER_GONE ->
          DispatchResult.notRun(reason);
      default -> DispatchResult.unknown(reason);
    };
  }

  private void began(Submission submission, Message.Head head) {
    submission.dispatched();
    if (!submission.isHeadSeen() && !submission.isCallerGone()) {
      submission.headSeen();
      effects.startResponse(submission.id(), head.status(), head.contentType());
    }
  }

  private void continued(Submission submission, Message.Chunk chunk) {
    long skip = submission.received() - chunk.offset();
    if (skip < 0 || skip >= chunk.data().length) {
      return;
    }
    byte[] fresh =
        skip == 0
            ? chunk.data()
            : Arrays.copyOfRange(chunk.data(), (int) skip, chunk.data().length);
    submission.received(fresh.length);
    if (!submission.isCallerGone()) {
      effects.continueResponse(submission.id(), fresh);
    }
  }

  private void ended(Submission submission, Message.End end) {
    boolean whole =
        end.outcome() == Outcome.COMPLETED
            && submission.isHeadSeen()
            && submission.received() == end.length();
    if (whole) {
      AgentState agent = submission.agent();
      if (agent != null) {
        effects.send(agent.name(), new Message.Acknowledge(submission.id(), end.length()));
      }
      finish(submission, DispatchResult.COMPLETED);
    } else {
      finish(submission, DispatchResult.unknown(ErrorCode.ANSWER_LOST));
    }
  }

  /**
   * Notes that a connection to an agent is open, and asks for the requests that the agent has.
   *
   * @param agentName the agent's name
   * @param incarnation the incarnation that the agent gave
   */
  public void linkUp(String agentName, long incarnation) {
    AgentState agent = directory.agent(agentName);
    if (agent == null) {
      return;
    }
    agent.linkUp(incarnation);
    for (Submission submission : List.copyOf(submissions.values())) {
      if (submission.isAt(agentName)) {
        resume(submission, agent);
      } else if (submission.phase() == Phase.ROUTING) {
        route(submission);
      }
    }
  }

  private void resume(Submission submission, AgentState agent) {
    if (submission.incarnation() != agent.incarnation()) {
      finish(submission, DispatchResult.unknown(ErrorCode.ANSWER_LOST));
    } else if (submission.withdrawnAt() != null) {
      sendWithdraw(submission, agent);
    } else {
      effects.send(
          agent.name(),
          new Message.Resume(
              submission.id(),
              submission.incarnation(),
              submission.startBy(),
              submission.received()));
    }
  }

  /**
   * Notes that no connection to an agent is open. Its requests wait for a new one.
   *
   * @param agentName the agent's name
   */
  public void linkDown(String agentName) {
    AgentState agent = directory.agent(agentName);
    if (agent != null) {
      agent.linkDown(clock.instant());
    }
  }

  /**
   * Notes that the caller has taken a part of its answer.
   *
   * @param id the request
   * @param offset the number of bytes taken so far
   */
  public void callerConsumed(RequestId id, long offset) {
    Submission submission = submissions.get(id);
    AgentState agent = submission == null ? null : submission.agent();
    if (agent != null) {
      effects.send(agent.name(), new Message.Acknowledge(id, offset));
    }
  }

  /**
   * Notes that the caller has gone.
   *
   * @param id the request
   */
  public void callerDisconnected(RequestId id) {
    Submission submission = submissions.get(id);
    if (submission == null) {
      return;
    }
    AgentState agent = submission.agent();
    submission.callerGone();
    if (agent != null) {
      effects.send(agent.name(), new Message.Cancel(id));
    }
    finish(submission, DispatchResult.unknown(ErrorCode.CALLER_GONE));
  }

  /** Applies the passage of time. */
  public void tick() {
    Instant now = clock.instant();
    for (Submission submission : List.copyOf(submissions.values())) {
      age(submission, now);
    }
  }

  private void age(Submission submission, Instant now) {
    AgentState agent = submission.agent();
    if (agent != null && agent.isUnreachableFor(limits.unreachableGrace(), now)) {
      finish(submission, DispatchResult.unknown(ErrorCode.ANSWER_LOST));
      return;
    }
    switch (submission.phase()) {
      case ROUTING -> route(submission);
      case OFFERED -> ageOffered(submission, now);
      case DISPATCHED -> ageDispatched(submission, now);
    }
  }

  private void ageOffered(Submission submission, Instant now) {
    Instant withdrawnAt = submission.withdrawnAt();
    if (withdrawnAt == null) {
      if (submission.startBy().isBefore(now) || isBetterElsewhere(submission, now)) {
        withdraw(submission, now);
      }
    } else if (isUnanswered(submission, withdrawnAt, now)) {
      finish(submission, DispatchResult.unknown(ErrorCode.DEADLINE));
    }
  }

  private boolean isUnanswered(Submission submission, Instant withdrawnAt, Instant now) {
    return withdrawnAt.plus(limits.withdrawGrace()).isBefore(now)
        && submission.startBy().plus(limits.withdrawGrace()).isBefore(now);
  }

  /** Tells whether a request has waited while another agent has room for it. */
  private boolean isBetterElsewhere(Submission submission, Instant now) {
    RequestSpec spec = submission.spec();
    boolean mayMove =
        spec.key() == null && submission.offeredAt().plus(limits.reofferAfter()).isBefore(now);
    return mayMove
        && candidatesFor(submission)
            .anyMatch(
                agent -> !submission.isAt(agent.name()) && agent.expectedRoom(spec.tier()) > 0);
  }

  private void withdraw(Submission submission, Instant now) {
    submission.withdrawnAt(now);
    AgentState agent = submission.agent();
    if (agent != null) {
      sendWithdraw(submission, agent);
    }
  }

  private void sendWithdraw(Submission submission, AgentState agent) {
    effects.send(
        agent.name(),
        new Message.Withdraw(submission.id(), submission.incarnation(), submission.startBy()));
  }

  private void ageDispatched(Submission submission, Instant now) {
    if (!submission.finishBy().isBefore(now)) {
      return;
    }
    AgentState agent = submission.agent();
    if (agent != null) {
      effects.send(agent.name(), new Message.Cancel(submission.id()));
    }
    finish(submission, DispatchResult.unknown(ErrorCode.DEADLINE));
  }

  /**
   * Returns the number of requests whose outcome is open.
   *
   * @return the number
   */
  public int openRequests() {
    return submissions.size();
  }
}
