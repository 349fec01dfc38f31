package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.crash.PromptAdmission;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.forward.AttemptFailure;
import org.wigeonstage.forward.AttemptFields;
import org.wigeonstage.forward.ResponseFields;
import org.wigeonstage.forward.Verdict;
import org.wigeonstage.http.OutboundCall;
import org.wigeonstage.http.ResponseHead;
import org.wigeonstage.placement.AttemptResult;
import org.wigeonstage.placement.PlacementRequest;
import org.wigeonstage.placement.RefusalReason;
import org.wigeonstage.placement.ServerEstimate;
import org.wigeonstage.routes.Route;

/**
 * A caller's request from its admission to the end of its response, with all attempts to forward
 * it. All methods must be called with the lock of the {@link GatewayCore} held.
 */
final class ForwardedRequest {

  private final GatewayCore core;
  private final InboundRequest inbound;
  private final Route route;
  private final String poolName;
  private final Duration arrivedAt;
  private PlacementRequest placement;
  private final Duration deadline;
  private final RequestLog log;
  private final CallerResponse response;
  private final ConnectionSelector connectionSelector;
  private final AttemptSequence attempts;
  private final RequestEnding ending;
  private @Nullable Attempt attempt;

  /** The last attempt that was started, also after its end. */
  private @Nullable Attempt lastAttempt;

  private @Nullable ResponseHead head;
  private boolean isTrial;
  private boolean isDeferred;

  ForwardedRequest(
      GatewayCore core,
      InboundRequest inbound,
      String poolName,
      PlacementRequest placement,
      Duration deadline,
      RequestLog log) {
    this.core = core;
    this.inbound = inbound;
    this.route = inbound.route();
    this.poolName = poolName;
    this.placement = placement;
    this.arrivedAt = placement.arrivedAt();
    this.deadline = deadline;
    this.log = log;
    this.response = new CallerResponse(core, inbound);
    this.attempts = new AttemptSequence(core, route, poolName, deadline, response);
    this.ending = new RequestEnding(core, this, response);
    this.connectionSelector = new ConnectionSelector(!inbound.fields().requestId().isEmpty());
  }

  PlacementRequest placement() {
    return placement;
  }

  String poolName() {
    return poolName;
  }

  InboundRequest inbound() {
    return inbound;
  }

  RequestLog log() {
    return log;
  }

  boolean mayHaveRun() {
    return attempts.mayHaveRun();
  }

  boolean isFinished() {
    return ending.isFinished();
  }

  /** Returns whether the request was sent to find out whether its prompt crashes servers. */
  boolean isTrial() {
    return isTrial;
  }

  List<String> sharedPromptParts() {
    return inbound.fields().sharedPromptParts();
  }

  /** Sends the request to a backend server. */
  void start(BackendServer server, ServerEstimate estimate) {
    Duration now = core.now();
    Attempt next = new Attempt(this, core, server, now, estimate.timeToFirstPart());
    attempt = next;
    lastAttempt = next;
    attempts.recordStart();
    log.addPlacement(server, estimate, now.minus(placement.arrivedAt()), attempts.count())
        .put("leftOut", core.knownServers().leftOut(poolName));
    head = null;
    AttemptFields fields =
        new AttemptFields(
            server.id(),
            deadline.minus(now),
            inbound.account().map(account -> account.name()),
            response.lastEventId());
    boolean canBeSentAgain = attempts.count() == 1 && attempts.canRunAgain();
    OutboundCall outbound = inbound.outboundCall(core.headerCodec(), fields);
    next.send(outbound, connectionSelector.maxIdleTime(server, canBeSentAgain));
  }

  /** Refuses the request because no backend server can accept it. */
  void refuse(RefusalReason reason, Duration retryAfter) {
    log.addRefusal(reason, retryAfter);
    ending.rejectOrAbort(
        Rejection.of(ErrorCode.ANSWER_LOST, "the request may have run; no other server is free"),
        Rejection.of(reason, retryAfter));
  }

  /** Ends or defers the request if its prompt is held, unless it may have reached a server. */
  void checkPrompt() {
    Attempt current = attempt;
    if (isFinished() || isTrial || (current != null && current.isConnected())) {
      return;
    }
    PromptAdmission admission = core.promptHolds().decide(this);
    isTrial = admission.kind() == PromptAdmission.Kind.TRIAL;
    if (admission.maySend() || (current != null && !current.cancelIfUnsent())) {
      isDeferred = false;
      return;
    }
    isDeferred = admission.kind() == PromptAdmission.Kind.DEFERRED;
    if (admission.kind() == PromptAdmission.Kind.HELD) {
      cancelAttempt(log.addPromptDecision("held", admission), AbortReason.PROMPT_HELD);
      ending.rejectOrAbort(
          Rejection.of(ErrorCode.ANSWER_LOST, "the request may have run; its prompt is held"),
          Rejection.ofHeldPrompt(admission.retryAfter()));
    } else if (isDeferred) {
      cancelAttempt(log.addPromptDecision("deferred", admission), AbortReason.PROMPT_HELD);
    }
  }

  /** Returns whether the request waits for another decision about its prompt. */
  boolean isDeferred() {
    return isDeferred;
  }

  /** Handles the head of a response. */
  void headReceived(Attempt source, ResponseHead newHead) {
    if (source != attempt || isFinished()) {
      return;
    }
    ResponseFields fields = core.headerCodec().decodeResponse(newHead.fields());
    connectionSelector.recordResponse(source.server());
    head = newHead;
    response.applyHead(newHead, fields.forwardedFields());
    source.recordHead(core.now(), newHead, fields);
    if (fields.closesConnection()) {
      core.count("servers.closing");
    }
    Optional<AttemptFailure> failure =
        attempts.failureOf(
            newHead, fields, inbound.fields().requestId(), source.usesNewConnection());
    if (failure.isPresent()) {
      endAttempt(source, failure.get(), source.resultOf(failure.get()));
    }
  }

  /** Handles part of a response's body. */
  void dataReceived(Attempt source, byte[] data) {
    ResponseHead current = head;
    if (source != attempt || isFinished() || current == null) {
      return;
    }
    source.recordData(core.now());
    if (!response.applyData(current, data, source, attempts.count() == 1)) {
      endAttempt(source, AttemptFailure.INVALID, source.resultOf(AttemptFailure.INVALID));
    }
  }

  /** Resumes reading from the backend server if everything is delivered to the caller. */
  void dataDelivered() {
    Attempt current = attempt;
    if (current != null && response.tryEndPause()) {
      current.resume();
    }
  }

  /** Handles the end of a response. */
  void responseCompleted(Attempt source) {
    ResponseHead current = head;
    if (source != attempt || isFinished() || current == null) {
      return;
    }
    if (response.isIncompleteStream(current, source)) {
      source.recordAbort(AbortReason.INCOMPLETE_RESPONSE);
      if (!current.isFramed()) {
        recordLoss(source);
      }
      endAttempt(source, AttemptFailure.CUT, source.resultOf(AttemptFailure.CUT));
      return;
    }
    boolean isError = ResponseClassifier.isServerError(current);
    source.report(isError ? AttemptResult.FAILED : AttemptResult.SERVED);
    // The end of a connection may also be that of its server.
    if (ResponseClassifier.isSuccess(current) && current.isFramed()) {
      source.recordServerResponse();
    }
    attempt = null;
    ending.markFinished();
    response.complete(current);
    Duration firstPart = source.timeToFirstPart(arrivedAt);
    Duration total = core.now().minus(arrivedAt);
    source.logTo(log.addResponse(current.status(), source.server(), firstPart, total));
    core.recordServed(this, firstPart, total);
    core.finish(this, RequestOutcome.SERVED);
  }

  /** Handles the loss of an attempt's connection, or the failure to establish one. */
  void attemptLost(Attempt source, boolean wasSent, Throwable cause) {
    if (source != attempt || isFinished()) {
      return;
    }
    source.recordLoss(cause);
    log.addLoss(source, cause);
    AttemptFailure failure = wasSent ? unansweredFailure() : AttemptFailure.NOT_SENT;
    if (wasSent) {
      recordLoss(source);
    }
    endAttempt(source, failure, source.resultOf(failure));
  }

  /**
   * Records that the connection has ended, perhaps because the prompt crashed the server; not if
   * this process closed it, for example because of a malformed response.
   */
  private void recordLoss(Attempt source) {
    if (source.isAtBeginning() && !source.hasStayedUnread() && !source.isClosedByGateway()) {
      source.recordServerLoss();
      isTrial = false;
    }
  }

  /** Ends a failed attempt, and decides how the request continues. */
  private void endAttempt(Attempt source, AttemptFailure failure, AttemptResult result) {
    if (failure == AttemptFailure.NOT_SENT) {
      attempts.recordNotSent();
    }
    endAttempt(source, failure, result, attempts.decide(failure));
  }

  private void endAttempt(
      Attempt source, AttemptFailure failure, AttemptResult result, Verdict verdict) {
    attempts.recordEnd(failure);
    attempt = null;
    response.discardBuffered();
    boolean keepsConnection =
        failure == AttemptFailure.DECLINED || failure == AttemptFailure.FAILED;
    if (!keepsConnection) {
      source.recordAbort(AbortReason.of(failure));
    }
    RequestLog.Entry entry = log.addAttemptEnd(source, failure, response.hasStarted(), verdict);
    source.logTo(entry);
    response.logTo(entry, core.now());
    if (keepsConnection) {
      source.report(result);
    } else {
      source.abandon(result);
    }
    // Other requests may have been started in the slot, and this one may have been ended by that.
    if (!isFinished()) {
      execute(verdict, failure);
    }
  }

  private void execute(Verdict verdict, AttemptFailure failure) {
    switch (verdict) {
      case RETRY -> core.resubmit(this);
      case RESUME -> {
        prepareResumption();
        core.resubmit(this);
      }
      case RESUME_LATER -> {
        prepareResumption();
        core.resubmitWithinBudget(this);
      }
      case REFUSE -> ending.reject(Rejection.ofDeclined());
      case REPORT_UNKNOWN, PASS_ON ->
          ending.reject(
              Rejection.of(
                  ErrorCode.ANSWER_LOST,
                  "the request may have run, but no usable response was received: " + failure));
      case REPORT_TIMEOUT ->
          ending.reject(Rejection.of(ErrorCode.DEADLINE, "the deadline of the request has passed"));
      case BREAK_OFF -> ending.abort();
    }
  }

  /** Replaces the placement request by one to send the next event before the caller gives up. */
  private void prepareResumption() {
    Duration now = core.now();
    PlacementRequest previous = placement;
    placement = previous.resumed(now, route.gapObjective(), resumeBy().minus(now));
    core.replacePlacement(previous, this);
  }

  /** Returns until when the caller of a started stream waits for the next event. */
  private Duration resumeBy() {
    return response.lastEventAt().orElse(core.now()).plus(WaitLimits.maxWaitForNextEvent(route));
  }

  /** Runs the periodic checks of the deadline and of the attempt. */
  void tick(Duration now) {
    if (isFinished()) {
      return;
    }
    if (now.compareTo(deadline) >= 0) {
      endAtDeadline();
      return;
    }
    Attempt current = attempt;
    if (current != null && shouldReplaceOrMarkSuspect(current)) {
      current.afterPendingReads(() -> replaceOrMarkSuspect(current));
    }
  }

  /** Returns whether to replace the attempt or mark its unresponsive server as suspect. */
  private boolean shouldReplaceOrMarkSuspect(Attempt current) {
    if (!current.isConnected()) {
      return current.isConnectTimeoutOver();
    }
    return !current.isUnreadable()
        && current.isUnresponsive(route)
        && attempts.wouldRetry(unansweredFailure())
        && (!current.hasMarkedServerSuspect() || canRetryOnAnotherServer());
  }

  private AttemptFailure unansweredFailure() {
    return head == null ? AttemptFailure.LOST : AttemptFailure.CUT;
  }

  private boolean canRetryOnAnotherServer() {
    return core.canRetryOnAnotherServer(
        this, response.hasStarted() ? resumeBy() : placement.startBy());
  }

  /**
   * Replaces the attempt at an unresponsive server. If no other server can accept the request now,
   * it continues, because only its response may still arrive, and the server is marked as suspect.
   */
  private void replaceOrMarkSuspect(Attempt current) {
    if (current != attempt || isFinished() || !shouldReplaceOrMarkSuspect(current)) {
      return;
    }
    if (current.cancelIfUnsent()) {
      endAttempt(current, AttemptFailure.NOT_SENT, AttemptResult.NOT_CONNECTED);
      return;
    }
    boolean isAlreadySuspect = current.hasMarkedServerSuspect(); // an attempt marks it once
    if (canRetryOnAnotherServer()) {
      Verdict verdict = attempts.decide(unansweredFailure());
      if (AttemptSequence.isRetry(verdict)) {
        endAttempt(
            current,
            unansweredFailure(),
            isAlreadySuspect ? AttemptResult.NEUTRAL : AttemptResult.UNREACHABLE,
            verdict);
        return;
      }
    }
    current.markServerSuspect();
  }

  private void endAtDeadline() {
    Attempt current = attempt;
    if (current != null) {
      AttemptFailure failure =
          current.cancelIfUnsent() ? AttemptFailure.NOT_SENT : AttemptFailure.TIMED_OUT;
      endAttempt(current, failure, AttemptResult.NEUTRAL);
      return;
    }
    core.withdraw(this);
    ending.rejectOrAbort(
        Rejection.of(ErrorCode.DEADLINE, "the deadline of the request has passed"),
        Rejection.retryable(
            ErrorCode.OVERLOADED, "no backend server had a free slot", Duration.ofMillis(200)));
  }

  /**
   * Ends the request because the caller closed its connection.
   *
   * @param handlingDelay the time since the end of the connection was read
   */
  void callerDisconnected(Duration handlingDelay) {
    if (isFinished()) {
      return;
    }
    ending.markFinished();
    RequestLog.Entry entry =
        log.addEntry("caller-gone")
            .put("begun", response.hasStarted())
            .put("attempts", attempts.count())
            .put("endReadMillisAgo", handlingDelay.toMillis())
            .markNotable();
    cancelAttempt(entry, AbortReason.CALLER_GONE);
    core.finish(this, RequestOutcome.CALLER_GONE);
  }

  /** Returns whether the request waits for a slot at a backend server or for the retry budget. */
  boolean isWaiting() {
    return attempt == null;
  }

  /**
   * Ends the request with a final response because the process is about to exit.
   *
   * @param ifNotRun the response if the request certainly has not run
   */
  void endAtShutdown(Rejection ifNotRun) {
    if (isFinished()) {
      return;
    }
    Attempt current = attempt;
    cancelAttempt(
        log.addEntry("left-open")
            .put("waitedFor", current == null ? "place" : current.waitingFor())
            .put("begun", response.hasStarted())
            .markNotable(),
        AbortReason.SHUTDOWN);
    ending.rejectOrAbort(
        Rejection.of(ErrorCode.ANSWER_LOST, "the gateway shut down before the response arrived"),
        ifNotRun);
  }

  /** Cancels the current attempt, if there is one, and the wait for a slot. */
  private void cancelAttempt(RequestLog.Entry entry, AbortReason reason) {
    response.logTo(entry, core.now());
    Attempt current = attempt;
    if (current != null) {
      attempts.recordCancellation(current.cancelIfUnsent());
      attempt = null;
      current.recordAbort(reason);
      current.logTo(entry);
      current.abandon(AttemptResult.NEUTRAL);
    }
    core.withdraw(this);
  }

  /**
   * Ends the request because one of its steps was interrupted by an error in this process: frees
   * its slot, and sends a final response unless its response has ended.
   */
  void endAfterError() {
    Attempt last = lastAttempt;
    attempt = null;
    if (last != null) {
      attempts.recordCancellation(last.cancelIfUnsent());
      last.recordAbort(AbortReason.ERROR);
      last.abandon(AttemptResult.NEUTRAL);
    }
    core.withdraw(this);
    ending.endAfterError();
  }

  /** Ends the request without a response, because even its end has failed. */
  void discard() {
    ending.discard();
  }
}
