package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.forward.ResponseFields;
import org.wigeonstage.forward.AttemptContext;
import org.wigeonstage.forward.AttemptFailure;
import org.wigeonstage.forward.AttemptFields;
import org.wigeonstage.forward.AttemptPolicy;
import org.wigeonstage.forward.Verdict;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.OutboundCall;
import org.wigeonstage.http.ResponseHead;
import org.wigeonstage.http.ServerExchange;
import org.wigeonstage.placement.AttemptResult;
import org.wigeonstage.placement.PlacementRequest;
import org.wigeonstage.placement.RefusalReason;
import org.wigeonstage.placement.ServerEstimate;
import org.wigeonstage.routes.Route;
import org.wigeonstage.routes.RouteKind;

/**
 * One caller's request from its placement to the end of its answer. All methods are called under
 * the lock of the {@link GatewayCore}.
 */
final class ForwardedRequest {

  /** The least time with which another attempt is worth making. */
  private static final Duration MIN_REMAINING = Duration.ofMillis(60);

  /** A server that declined a request has room again after about this time. */
  private static final Duration DECLINED_RETRY_AFTER = Duration.ofMillis(300);

  private final GatewayCore core;
  private final InboundRequest call;
  private final Route route;
  private final String pool;
  private final Duration arrivedAt;
  private PlacementRequest placed;
  private final Duration deadline;
  private final RequestLog trail;
  private final CallerResponse answer;
  private @Nullable Attempt attempt;
  private @Nullable ResponseHead head;
  private int attempts;
  private boolean mayHaveRun;
  private boolean finished;

  ForwardedRequest(
      GatewayCore core,
      InboundRequest call,
      String pool,
      PlacementRequest placed,
      Duration deadline,
      RequestLog trail) {
    this.core = core;
    this.call = call;
    this.route = call.route();
    this.pool = pool;
    this.placed = placed;
    this.arrivedAt = placed.arrivedAt();
    this.deadline = deadline;
    this.trail = trail;
    this.answer = new CallerResponse(core, call);
  }

  PlacementRequest placed() {
    return placed;
  }

  String pool() {
    return pool;
  }

  InboundRequest call() {
    return call;
  }

  RequestLog trail() {
    return trail;
  }

  boolean mayHaveRun() {
    return mayHaveRun;
  }

  private ServerExchange exchange() {
    return call.exchange();
  }

  /** Sends the request to a backend server. */
  void start(BackendServer server, ServerEstimate estimate) {
    Duration now = core.now();
    Duration remaining = deadline.minus(now);
    trail
        .step("placed")
        .put("server", server.id())
        .put("running", estimate.running())
        .put("runningElsewhere", estimate.runningAtPeers())
        .put("slots", estimate.slots())
        .put("expectedFirstPartMillis", estimate.timeToFirstPart().toMillis())
        .put("waitedMillis", now.minus(placed.arrivedAt()).toMillis())
        .put("attempt", attempts + 1);
    head = null;
    AttemptFields fields =
        new AttemptFields(
            server.id(),
            remaining,
            call.account().map(account -> account.name()),
            answer.lastEventId());
    OutboundCall outbound =
        new OutboundCall(
            exchange().method(),
            exchange().pathAndQuery(),
            Optional.ofNullable(exchange().header("Host")).orElse(""),
            core.dialect().encodeRequest(call.fields(), fields),
            exchange().body());
    Attempt next = new Attempt(this, core, server, now, estimate.timeToFirstPart());
    attempt = next;
    attempts++;
    boolean mayBeLost = attempts == 1 && route.mayRetry() && hasAttemptsLeft();
    next.send(Endpoint.parse(server.address()), outbound, mayBeLost);
  }

  /** Refuses the request because no backend server can take it. */
  void refuse(RefusalReason reason, Duration retryAfter) {
    trail
        .step("refused")
        .put("reason", reason.name())
        .put("retryAfterMillis", retryAfter.toMillis());
    endUnfinished(
        Rejection.of(ErrorCode.ANSWER_LOST, "the answer was lost, and no other server is free"),
        Rejection.of(reason, retryAfter));
  }

  /** Takes the beginning of an answer. */
  void answered(Attempt source, ResponseHead newHead) {
    if (source != attempt || finished) {
      return;
    }
    ResponseFields fields = core.dialect().decodeResponse(newHead.fields());
    head = newHead;
    answer.take(newHead, fields.forwardedFields());
    source.headArrived(core.now());
    if (fields.closesConnection()) {
      core.serverClosesConnections(source.server());
    }
    Optional<AttemptFailure> end = endOf(newHead, fields);
    if (end.isPresent()) {
      attemptEnded(source, end.get(), Attempt.resultOf(end.get()));
    }
  }

  /** Returns how the attempt ended if this head can't begin the caller's answer. */
  private Optional<AttemptFailure> endOf(ResponseHead newHead, ResponseFields fields) {
    Optional<AttemptFailure> end = ResponseClassifier.endOf(newHead, fields, call.fields().requestId());
    if (end.isPresent()) {
      return end;
    }
    if (ResponseClassifier.isFailure(newHead) && (answer.hasBegun() || canRepeatFailure())) {
      return Optional.of(AttemptFailure.FAILED);
    }
    boolean canGoOn = ResponseClassifier.isSuccess(newHead) && answer.isStream();
    return answer.hasBegun() && !canGoOn ? Optional.of(AttemptFailure.INVALID) : Optional.empty();
  }

  private boolean canRepeatFailure() {
    return route.mayRetry() && hasAttemptsLeft() && core.tryRepeat(pool);
  }

  /** Takes part of an answer's body. */
  void continued(Attempt source, byte[] data) {
    ResponseHead current = head;
    if (source != attempt || finished || current == null) {
      return;
    }
    source.dataArrived(core.now());
    if (!answer.take(current, data, source, attempts == 1)) {
      attemptEnded(source, AttemptFailure.INVALID, Attempt.resultOf(AttemptFailure.INVALID));
    }
  }

  /** Goes on reading once the caller has caught up. */
  void consumed() {
    Attempt current = attempt;
    if (current != null && answer.catchesUp()) {
      current.resume();
    }
  }

  /** Takes the end of an answer. */
  void ended(Attempt source) {
    ResponseHead current = head;
    if (source != attempt || finished || current == null) {
      return;
    }
    boolean hasFailed = ResponseClassifier.isFailure(current);
    source.report(hasFailed ? AttemptResult.FAILED : AttemptResult.SERVED);
    attempt = null;
    finished = true;
    answer.end(current);
    RequestLog.Step step =
        trail
            .step("answered")
            .put("status", current.status())
            .put("server", source.server().id())
            .put("firstPartMillis", source.firstPartSince(arrivedAt).toMillis())
            .put("totalMillis", core.now().minus(arrivedAt).toMillis());
    source.describe(step);
    core.served(this, source.firstPartSince(arrivedAt), core.now().minus(arrivedAt));
    core.finished(this, RequestOutcome.SERVED);
  }

  /** Takes the loss of an attempt. */
  void lost(Attempt source, boolean wasSent, Throwable cause) {
    if (source != attempt || finished) {
      return;
    }
    trail
        .step("connection-lost")
        .put("server", source.server().id())
        .put("cause", cause.toString());
    AttemptFailure end = AttemptFailure.NOT_SENT;
    if (wasSent) {
      end = head == null ? AttemptFailure.LOST : AttemptFailure.CUT;
    }
    attemptEnded(source, end, Attempt.resultOf(end));
  }

  /** Ends an attempt and decides what follows. */
  private void attemptEnded(Attempt source, AttemptFailure end, AttemptResult result) {
    if (end == AttemptFailure.NOT_SENT) {
      attempts--;
    }
    attemptEnded(source, end, result, decide(end));
  }

  private void attemptEnded(Attempt source, AttemptFailure end, AttemptResult result, Verdict verdict) {
    attempt = null;
    answer.attemptEnded();
    mayHaveRun |= !end.isNotRun();
    RequestLog.Step step =
        trail
            .step("attempt-ended")
            .put("server", source.server().id())
            .put("end", end.name())
            .put("begun", answer.hasBegun())
            .put("verdict", verdict.name())
            .notable();
    source.describe(step);
    answer.describe(step, core.now());
    if (end == AttemptFailure.DECLINED || end == AttemptFailure.FAILED) {
      source.report(result);
    } else {
      source.abandon(result);
    }
    follow(verdict, end);
  }

  private Verdict decide(AttemptFailure end) {
    // The repeat after a failure was taken before the failure was kept from the caller.
    boolean isTaken = end == AttemptFailure.FAILED && !answer.hasBegun();
    boolean isFree = end == AttemptFailure.NOT_SENT || isTaken;
    boolean canTry = hasAttemptsLeft() && deadline.minus(core.now()).compareTo(MIN_REMAINING) > 0;
    Verdict wish = AttemptPolicy.decide(end, context(canTry));
    if (!isRepeat(wish) || isFree || core.tryRepeat(pool)) {
      return wish;
    }
    if (wish == Verdict.RESUME) {
      return Verdict.RESUME_LATER;
    }
    return AttemptPolicy.decide(end, context(false));
  }

  private static boolean isRepeat(Verdict verdict) {
    return verdict == Verdict.RETRY || verdict == Verdict.RESUME;
  }

  private boolean hasAttemptsLeft() {
    return attempts < route.maxAttempts();
  }

  private AttemptContext context(boolean canRetry) {
    return new AttemptContext(
        route.mayRetry(),
        route.kind() == RouteKind.STREAMING,
        answer.hasBegun(),
        mayHaveRun,
        canRetry);
  }

  private void follow(Verdict verdict, AttemptFailure end) {
    switch (verdict) {
      case RETRY -> core.submitAgain(this);
      case RESUME -> {
        placeAnew();
        core.submitAgain(this);
      }
      case RESUME_LATER -> {
        placeAnew();
        core.submitWithinBudget(this);
      }
      case REFUSE ->
          reject(
              Rejection.retryable(
                  ErrorCode.NO_BACKEND_SERVER,
                  "the backend server declined the request",
                  DECLINED_RETRY_AFTER));
      case REPORT_UNKNOWN, PASS_ON ->
          fail(ErrorCode.ANSWER_LOST, "the backend server's answer was lost: " + end);
      case REPORT_TIMEOUT -> fail(ErrorCode.DEADLINE, "the time of the request is used up");
      case BREAK_OFF -> breakOff();
    }
  }

  private void placeAnew() {
    Duration now = core.now();
    PlacementRequest before = placed;
    placed = before.resumed(now, route.gapObjective(), resumeBy().minus(now));
    core.replace(before, this);
  }

  /** Returns until when the caller of a begun stream waits for its next event. */
  private Duration resumeBy() {
    return answer.lastEventAt().orElse(core.now()).plus(WaitLimits.forAPause(route));
  }

  /** Applies the passage of time. */
  void tick(Duration now) {
    if (finished) {
      return;
    }
    if (now.compareTo(deadline) >= 0) {
      timeOut();
      return;
    }
    Attempt current = attempt;
    if (current != null && isGivenUp(current)) {
      current.whenSilenceIsCertain(() -> endSilent(current));
    }
  }

  private boolean isGivenUp(Attempt current) {
    if (!current.wasSent()) {
      return current.isUnconnected();
    }
    return current.isSilent(route)
        && isRepeat(AttemptPolicy.decide(endOfSilent(), context(hasAttemptsLeft())))
        && (!current.isSuspected() || canRepeatElsewhere());
  }

  private AttemptFailure endOfSilent() {
    return head == null ? AttemptFailure.LOST : AttemptFailure.CUT;
  }

  private boolean canRepeatElsewhere() {
    return core.canRepeatElsewhere(this, answer.hasBegun() ? resumeBy() : placed.startBy());
  }

  /**
   * Gives a silent attempt up for another one. Where none can follow now, its answer is the only
   * one that may come, and the server is just avoided.
   */
  private void endSilent(Attempt current) {
    if (current != attempt || finished || !isGivenUp(current)) {
      return;
    }
    if (current.cancelUnsent()) {
      attemptEnded(current, AttemptFailure.NOT_SENT, AttemptResult.UNREACHABLE);
      return;
    }
    boolean isKnown = current.isSuspected();
    if (canRepeatElsewhere()) {
      Verdict verdict = decide(endOfSilent());
      if (isRepeat(verdict)) {
        attemptEnded(
            current,
            endOfSilent(),
            isKnown ? AttemptResult.NEUTRAL : AttemptResult.UNREACHABLE,
            verdict);
        return;
      }
    }
    current.suspect();
  }

  private void timeOut() {
    Attempt current = attempt;
    if (current != null) {
      AttemptFailure end = current.cancelUnsent() ? AttemptFailure.NOT_SENT : AttemptFailure.TIMED_OUT;
      attemptEnded(current, end, AttemptResult.NEUTRAL);
      return;
    }
    core.withdraw(this);
    endUnfinished(
        Rejection.of(ErrorCode.DEADLINE, "the time of the request is used up"),
        Rejection.retryable(
            ErrorCode.OVERLOADED, "no place became free in time", Duration.ofMillis(200)));
  }

  /** Ends the request, which no attempt will finish, with what is true of it. */
  private void endUnfinished(Rejection ifUnknown, Rejection ifNotRun) {
    if (answer.hasBegun()) {
      breakOff();
    } else {
      reject(mayHaveRun ? ifUnknown : ifNotRun);
    }
  }

  /**
   * Ends the request because the caller closed its connection.
   *
   * @param unhandled how long ago the end of the connection was read
   */
  void callerGone(Duration unhandled) {
    if (finished) {
      return;
    }
    finished = true;
    RequestLog.Step step =
        trail
            .step("caller-gone")
            .put("begun", answer.hasBegun())
            .put("attempts", attempts)
            .put("endReadMillisAgo", unhandled.toMillis())
            .notable();
    dropAttempt(step);
    core.finished(this, RequestOutcome.CALLER_GONE);
  }

  /** Returns whether the request waits for a place at a backend server. */
  boolean isWaiting() {
    return attempt == null;
  }

  /**
   * Gives the request its final answer, because the process ends.
   *
   * @param ifNotRun the answer where it certainly has not run
   */
  void giveUp(Rejection ifNotRun) {
    if (finished) {
      return;
    }
    Attempt current = attempt;
    dropAttempt(
        trail
            .step("left-open")
            .put("waitedFor", current == null ? "place" : current.waitsFor())
            .put("begun", answer.hasBegun())
            .notable());
    endUnfinished(
        Rejection.of(ErrorCode.ANSWER_LOST, "the process ended before the answer came"), ifNotRun);
  }

  /** Gives up the open attempt, if there is one, and the wait for a place. */
  private void dropAttempt(RequestLog.Step step) {
    answer.describe(step, core.now());
    Attempt current = attempt;
    attempt = null;
    if (current != null) {
      current.describe(step);
      mayHaveRun |= !current.cancelUnsent();
      current.abandon(AttemptResult.NEUTRAL);
    }
    core.withdraw(this);
  }

  private void breakOff() {
    finished = true;
    answer.describe(
        trail.step("broken-off").put("lastEvent", answer.lastEventId().orElse(-1)).notable(),
        core.now());
    exchange().abort();
    core.finished(this, RequestOutcome.BROKEN_OFF);
  }

  private void fail(ErrorCode code, String detail) {
    reject(Rejection.of(code, detail));
  }

  private void reject(Rejection rejection) {
    finished = true;
    core.answer(call, rejection, trail);
    core.finished(this, RequestOutcome.REJECTED);
  }
}
