package org.wigeonstage.offer;

import java.time.Instant;
import java.time.InstantSource;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.handover.Message;
import org.wigeonstage.offer.Submission.Phase;
import org.wigeonstage.request.IdempotencyKey;
import org.wigeonstage.request.Outcome;
import org.wigeonstage.request.RequestId;
import org.wigeonstage.request.RequestSpec;
import org.wigeonstage.routing.AgentState;
import org.wigeonstage.routing.Router;

/**
 * Decides which agent each request of an entry's callers is offered to, and determines its result.
 *
 * <p>At any time at most one agent has a request. It is offered to another agent only after {@link
 * Message.Refused}, and never twice to the same one. A request with an idempotency key is offered
 * to the home of the key only.
 *
 * <p>The caller is told that the request did not run in these cases:
 *
 * <ul>
 *   <li>It has no key, and was not offered to any agent before its latest start.
 *   <li>It was offered, and each agent that it was offered to refused it. A refusal of a request
 *       with a key counts only if the agent checked the history of the key first: after {@code
 *       STALE_INCARNATION} and {@code OFFER_UNSEEN} the outcome is unknown.
 *   <li>The agent replied {@link Message.Rejected} with this outcome.
 * </ul>
 *
 * <p>A request with a key that was never offered has an unknown outcome, because an earlier
 * submission with the key may have run.
 *
 * <p>Performs no I/O and starts no threads. Not thread-safe.
 */
public final class OfferCoordinator {

  /** The maximum number of links opened each time that a request finds no available agent. */
  private static final int LINKS_PER_ATTEMPT = 2;

  private final OfferLimits limits;
  private final AgentDirectory directory;
  private final Router router;
  private final InstantSource clock;
  private final OfferEffects effects;
  private final Map<RequestId, Submission> submissions = new HashMap<>();

  /**
   * Creates an instance without requests.
   *
   * @param limits the limits of waiting and offering
   * @param directory the agents
   * @param router chooses among the agents
   * @param clock the wall clock
   * @param effects carries out the decisions
   */
  public OfferCoordinator(
      OfferLimits limits,
      AgentDirectory directory,
      Router router,
      InstantSource clock,
      OfferEffects effects) {
    this.limits = limits;
    this.directory = directory;
    this.router = router;
    this.clock = clock;
    this.effects = effects;
  }

  /**
   * Submits a caller's request.
   *
   * @param id the request identifier, which must be unique
   * @param spec the request
   * @param startBy the latest start, after which the request must not be dispatched
   * @param finishBy the time until which the caller waits for the complete response
   */
  public void submit(RequestId id, RequestSpec spec, Instant startBy, Instant finishBy) {
    Submission submission = new Submission(id, spec, startBy, finishBy);
    submissions.put(id, submission);
    route(submission);
  }

  private void route(Submission submission) {
    if (submission.startBy().isBefore(clock.instant())) {
      finishExpired(submission);
      return;
    }
    if (submission.refusals() >= limits.maxOffers()) {
      finish(submission, SubmissionResult.notRun(submission.lastRefusal()));
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
      finish(submission, SubmissionResult.notRun(submission.lastRefusal()));
      return Optional.empty();
    }
    if (candidates.isEmpty()) {
      openLinks(submission.id(), directory.agentsOf(spec.pool()));
    }
    return router.choose(spec, candidates);
  }

  private Stream<AgentState> candidatesFor(Submission submission) {
    return directory.agentsOf(submission.spec().pool()).stream()
        .filter(AgentState::isAvailable)
        .filter(agent -> !submission.wasRefusedBy(agent));
  }

  /**
   * Opens links to some of the unlinked agents, because none of the linked ones is available. The
   * request identifier selects them, so that different requests try different agents.
   */
  private void openLinks(RequestId id, List<AgentState> agents) {
    List<AgentState> unlinked = agents.stream().filter(agent -> !agent.isLinked()).toList();
    for (int i = 0; i < Math.min(LINKS_PER_ATTEMPT, unlinked.size()); i++) {
      int index = Math.floorMod(id.hashCode() + i, unlinked.size());
      effects.connect(unlinked.get(index).name());
    }
  }

  /** Returns the home agent of a key if it is linked; otherwise opens a link and returns empty. */
  private Optional<AgentState> chooseHome(String pool, IdempotencyKey key) {
    Optional<AgentState> home = directory.homeOf(pool, key);
    home.filter(agent -> !agent.isLinked()).ifPresent(agent -> effects.connect(agent.name()));
    return home.filter(AgentState::isLinked);
  }

  /**
   * Offers a request to an agent. An agent that is not available may still have an execution with
   * the same idempotency key, so it may only attach the submission to that execution.
   */
  private void offer(Submission submission, AgentState agent) {
    submission.recordOffer(agent, clock.instant());
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

  /** Finishes a request that no agent has and that can no longer be dispatched in time. */
  private void finishExpired(Submission submission) {
    if (submission.refusals() > 0) {
      finish(submission, SubmissionResult.notRun(submission.lastRefusal()));
    } else if (submission.spec().key() != null) {
      finish(submission, SubmissionResult.unknown(ErrorCode.KEY_HOME_UNREACHABLE));
    } else {
      finish(submission, SubmissionResult.notRun(ErrorCode.NO_BACKEND_SERVER));
    }
  }

  private void finish(Submission submission, SubmissionResult result) {
    submission.releaseAgent();
    submissions.remove(submission.id());
    if (!submission.isCallerDisconnected()) {
      effects.finish(submission.id(), result);
    }
  }

  /**
   * Handles a message from an agent. A message about a request that the agent does not have is
   * ignored.
   *
   * @param agent the name of the agent
   * @param message the message
   */
  public void receive(String agent, Message message) {
    if (message instanceof Message.Pong pong) {
      handlePong(agent, pong);
    } else if (message instanceof Message.Leaving) {
      handleLeaving(agent);
    } else if (message instanceof Message.RequestMessage requestMessage) {
      Submission submission = submissions.get(requestMessage.id());
      if (submission != null && submission.isHeldBy(agent)) {
        handle(submission, requestMessage);
      }
    }
  }

  private void handlePong(String agentName, Message.Pong pong) {
    AgentState agent = directory.agent(agentName);
    if (agent != null) {
      agent.applyLoadReport(pong.load());
    }
  }

  private void handleLeaving(String agentName) {
    AgentState agent = directory.agent(agentName);
    if (agent != null) {
      agent.markLeaving();
    }
  }

  private void handle(Submission submission, Message.RequestMessage message) {
    if (message instanceof Message.Refused refused) {
      handleRefused(submission, refused.reason());
    } else if (message instanceof Message.Rejected rejected) {
      finish(submission, new SubmissionResult(rejected.outcome(), rejected.reason()));
    } else if (message instanceof Message.Dispatched) {
      submission.markDispatched();
    } else if (message instanceof Message.Head head) {
      handleHead(submission, head);
    } else if (message instanceof Message.Chunk chunk) {
      handleChunk(submission, chunk);
    } else if (message instanceof Message.End end) {
      handleEnd(submission, end);
    }
  }

  private void handleRefused(Submission submission, ErrorCode reason) {
    submission.recordRefusal(reason);
    if (submission.isCallerDisconnected()) {
      finish(submission, SubmissionResult.notRun(ErrorCode.CALLER_GONE));
    } else if (submission.spec().key() != null) {
      finish(submission, resultOfKeyedRefusal(reason));
    } else {
      route(submission);
    }
  }

  /**
   * Returns the result of a request with an idempotency key that its home agent refused. An earlier
   * submission with the same key may have run, unless the agent has checked the history of the key.
   * It sends the listed reasons only after this check.
   */
  private static SubmissionResult resultOfKeyedRefusal(ErrorCode reason) {
    return switch (reason) {
      case OVERLOADED, LEAVING, DEADLINE, WITHDRAWN, NO_BACKEND_SERVER, CALLER_GONE ->
          SubmissionResult.notRun(reason);
      default -> SubmissionResult.unknown(reason);
    };
  }

  private void handleHead(Submission submission, Message.Head head) {
    submission.markDispatched();
    if (!submission.isHeadReceived() && !submission.isCallerDisconnected()) {
      submission.markHeadReceived();
      effects.startResponse(submission.id(), head.status(), head.contentType());
    }
  }

  /**
   * Passes on the bytes of a chunk that are new; on a new link, a chunk may repeat earlier bytes.
   */
  private void handleChunk(Submission submission, Message.Chunk chunk) {
    long repeated = submission.receivedBytes() - chunk.offset();
    if (repeated < 0 || repeated >= chunk.data().length) {
      return;
    }
    byte[] newBytes =
        repeated == 0
            ? chunk.data()
            : Arrays.copyOfRange(chunk.data(), (int) repeated, chunk.data().length);
    submission.addReceivedBytes(newBytes.length);
    if (!submission.isCallerDisconnected()) {
      effects.continueResponse(submission.id(), newBytes);
    }
  }

  private void handleEnd(Submission submission, Message.End end) {
    boolean isComplete =
        end.outcome() == Outcome.COMPLETED
            && submission.isHeadReceived()
            && submission.receivedBytes() == end.length();
    if (isComplete) {
      AgentState agent = submission.agent();
      if (agent != null) {
        effects.send(agent.name(), new Message.Acknowledge(submission.id(), end.length()));
      }
      finish(submission, SubmissionResult.COMPLETED);
    } else {
      finish(submission, SubmissionResult.unknown(ErrorCode.ANSWER_LOST));
    }
  }

  /**
   * Records that a link to an agent was opened, and resumes the requests that the agent has.
   *
   * @param agentName the name of the agent
   * @param incarnation the incarnation that the agent sent
   */
  public void linkUp(String agentName, long incarnation) {
    AgentState agent = directory.agent(agentName);
    if (agent == null) {
      return;
    }
    agent.linkUp(incarnation);
    for (Submission submission : List.copyOf(submissions.values())) {
      if (submission.isHeldBy(agentName)) {
        resume(submission, agent);
      } else if (submission.phase() == Phase.ROUTING) {
        route(submission);
      }
    }
  }

  private void resume(Submission submission, AgentState agent) {
    if (submission.incarnation() != agent.incarnation()) {
      finish(submission, SubmissionResult.unknown(ErrorCode.ANSWER_LOST));
    } else if (submission.withdrawnAt() != null) {
      sendWithdraw(submission, agent);
    } else {
      effects.send(
          agent.name(),
          new Message.Resume(
              submission.id(),
              submission.incarnation(),
              submission.startBy(),
              submission.receivedBytes()));
    }
  }

  /**
   * Records that no link to an agent is open. The requests of the agent wait for a new link.
   *
   * @param agentName the name of the agent
   */
  public void linkDown(String agentName) {
    AgentState agent = directory.agent(agentName);
    if (agent != null) {
      agent.linkDown(clock.instant());
    }
  }

  /**
   * Records that a part of the response was delivered to the caller, and acknowledges it.
   *
   * @param id the request identifier
   * @param offset the number of bytes delivered so far
   */
  public void callerConsumed(RequestId id, long offset) {
    Submission submission = submissions.get(id);
    AgentState agent = submission == null ? null : submission.agent();
    if (agent != null) {
      effects.send(agent.name(), new Message.Acknowledge(id, offset));
    }
  }

  /**
   * Records that the caller has disconnected, and cancels the request.
   *
   * @param id the request identifier
   */
  public void callerDisconnected(RequestId id) {
    Submission submission = submissions.get(id);
    if (submission == null) {
      return;
    }
    AgentState agent = submission.agent();
    submission.markCallerDisconnected();
    if (agent != null) {
      effects.send(agent.name(), new Message.Cancel(id));
    }
    finish(submission, SubmissionResult.unknown(ErrorCode.CALLER_GONE));
  }

  /**
   * Routes requests that no agent has, withdraws requests that should move to another agent or can
   * no longer be dispatched in time, and finishes those whose time limits have passed. To be called
   * periodically.
   */
  public void tick() {
    Instant now = clock.instant();
    for (Submission submission : List.copyOf(submissions.values())) {
      check(submission, now);
    }
  }

  private void check(Submission submission, Instant now) {
    AgentState agent = submission.agent();
    if (agent != null && agent.isUnreachableFor(limits.unreachableTimeout(), now)) {
      finish(submission, SubmissionResult.unknown(ErrorCode.ANSWER_LOST));
      return;
    }
    switch (submission.phase()) {
      case ROUTING -> route(submission);
      case OFFERED -> checkOffered(submission, now);
      case DISPATCHED -> checkDispatched(submission, now);
    }
  }

  private void checkOffered(Submission submission, Instant now) {
    Instant withdrawnAt = submission.withdrawnAt();
    if (withdrawnAt == null) {
      if (submission.startBy().isBefore(now) || shouldMove(submission, now)) {
        withdraw(submission, now);
      }
    } else if (isWithdrawalOverdue(submission, withdrawnAt, now)) {
      finish(submission, SubmissionResult.unknown(ErrorCode.DEADLINE));
    }
  }

  private boolean isWithdrawalOverdue(Submission submission, Instant withdrawnAt, Instant now) {
    return withdrawnAt.plus(limits.withdrawTimeout()).isBefore(now)
        && submission.startBy().plus(limits.withdrawTimeout()).isBefore(now);
  }

  /**
   * Returns whether a request without an idempotency key has waited at its agent for the reoffer
   * delay while another agent has a free slot.
   */
  private boolean shouldMove(Submission submission, Instant now) {
    RequestSpec spec = submission.spec();
    boolean mayMove =
        spec.key() == null && submission.offeredAt().plus(limits.reofferDelay()).isBefore(now);
    return mayMove
        && candidatesFor(submission)
            .anyMatch(
                agent ->
                    !submission.isHeldBy(agent.name()) && agent.expectedHeadroom(spec.tier()) > 0);
  }

  private void withdraw(Submission submission, Instant now) {
    submission.markWithdrawn(now);
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

  /** Ends a request that was dispatched, or can no longer be withdrawn, at its deadline. */
  private void checkDispatched(Submission submission, Instant now) {
    if (!submission.finishBy().isBefore(now)) {
      return;
    }
    AgentState agent = submission.agent();
    if (agent != null) {
      effects.send(agent.name(), new Message.Cancel(submission.id()));
    }
    finish(submission, SubmissionResult.unknown(ErrorCode.DEADLINE));
  }

  /**
   * Returns the number of requests without a final result.
   *
   * @return the number of open requests
   */
  public int openRequests() {
    return submissions.size();
  }
}
