package org.wigeonstage.gateway;

import com.google.common.collect.Comparators;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.RepeatedTask;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.forward.AttemptFailure;
import org.wigeonstage.forward.EventDefect;
import org.wigeonstage.forward.ResponseFields;
import org.wigeonstage.http.ClientExchange;
import org.wigeonstage.http.ConnectionLostException;
import org.wigeonstage.http.OutboundCall;
import org.wigeonstage.http.ResponseHead;
import org.wigeonstage.http.ResponseListener;
import org.wigeonstage.placement.AttemptResult;
import org.wigeonstage.routes.Route;
import org.wigeonstage.routes.RouteKind;
import org.wigeonstage.telemetry.MetricName;

/** One attempt to forward a request to a backend server. */
final class Attempt implements ResponseListener {

  /** Connections are established within a few milliseconds, also between failure domains. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

  /** The server is unresponsive if the first part takes this multiple of its objective. */
  private static final double FIRST_PART_TIMEOUT_FACTOR = 2;

  /** The limit for the first part is at least this multiple of the scheduler's estimate of it. */
  private static final int ESTIMATE_TIMEOUT_FACTOR = 5;

  /** The server is unresponsive if an event gap takes this multiple of its objective. */
  private static final int GAP_TIMEOUT_FACTOR = 3;

  /** Limit for a suspect server, which recently failed to respond to other requests. */
  private static final Duration SUSPECT_TIMEOUT = Duration.ofMillis(250);

  /** A given up response is late if it took this multiple of the objective of its first part. */
  private static final int LATE_FACTOR = 2;

  /** Servers cut off a response that stays unread for some seconds. */
  private static final Duration UNREAD_TIME = Duration.ofSeconds(1);

  /** A response with fewer events is still at its beginning. */
  private static final int BEGINNING_EVENTS = 3;

  /** The number of events over which the pace of a running response is averaged. */
  private static final int PARTIAL_GAP_EVENTS = 8;

  private final ForwardedRequest request;
  private final GatewayCore core;
  private final BackendServer server;
  private final Duration startedAt;
  private final Duration expectedFirstPart;
  private final Duration activeTimeAtStart;
  private @Nullable ClientExchange exchange;
  private @Nullable Duration firstPartAt;
  private Duration lastDataAt;
  private Duration activeTimeAtLastData;
  private int eventCount;
  private boolean hasResponseId;
  private boolean reported;
  private boolean markedSuspect;
  private boolean isAwaitingReads;

  /** Why the connection of the attempt has ended, or empty if it has not. */
  private Optional<String> closeReason = Optional.empty();

  private boolean isClosedByGateway;

  /** When the event arrived with which the current part of the stream began. */
  private @Nullable Duration partialGapFrom;

  /** Whether the caller read so slowly that the server had to wait. */
  private boolean wasPaused;

  /** Since when the response is not read, because its caller is behind. */
  private @Nullable Duration pausedAt;

  private boolean hasStayedUnread;

  Attempt(
      ForwardedRequest request,
      GatewayCore core,
      BackendServer server,
      Duration startedAt,
      Duration expectedFirstPart) {
    this.request = request;
    this.core = core;
    this.server = server;
    this.startedAt = startedAt;
    this.expectedFirstPart = expectedFirstPart;
    this.lastDataAt = startedAt;
    this.activeTimeAtStart = core.activeTime();
    this.activeTimeAtLastData = activeTimeAtStart;
  }

  /** Returns what the failure of the attempt says about its server. */
  AttemptResult resultOf(AttemptFailure failure) {
    boolean isCut = failure == AttemptFailure.LOST || failure == AttemptFailure.CUT;
    if (isCut && hasStayedUnread()) {
      return AttemptResult.NEUTRAL;
    }
    return switch (failure) {
      case NOT_SENT -> AttemptResult.NOT_CONNECTED;
      case LOST -> AttemptResult.UNREACHABLE;
      case TIMED_OUT -> AttemptResult.NEUTRAL;
      // A server also responds so to a version that the caller has chosen.
      case MISDIRECTED ->
          request.inbound().fields().requiresVersion()
              ? AttemptResult.NEUTRAL
              : AttemptResult.REPLACED;
      case DECLINED -> AttemptResult.DECLINED;
      case INVALID, INVALID_STATUS, FAILED, CUT -> AttemptResult.FAILED;
    };
  }

  BackendServer server() {
    return server;
  }

  /**
   * Sends the request.
   *
   * @param maxIdleTime the maximum idle time of the pooled connection to use, or zero for a new one
   */
  void send(OutboundCall call, Duration maxIdleTime) {
    exchange = core.client().send(server.address(), call, maxIdleTime, this);
  }

  /** Returns whether the request is the first one on its connection. */
  boolean usesNewConnection() {
    ClientExchange current = exchange;
    return current != null && current.usesNewConnection();
  }

  /**
   * Returns whether there is a connection to the server, so that the request may have been sent.
   */
  boolean isConnected() {
    ClientExchange current = exchange;
    return current != null && current.isConnected();
  }

  /** Returns what the attempt waits for, as it is logged. */
  String waitingFor() {
    if (!isConnected()) {
      return "connection";
    }
    return firstPartAt == null ? "first-part" : "rest-of-answer";
  }

  /** Cancels the attempt if nothing was sent; returns whether nothing was or will be sent. */
  boolean cancelIfUnsent() {
    ClientExchange current = exchange;
    return current == null || current.cancelIfUnsent();
  }

  /**
   * Logs how long after the placement the request had a connection and was written to it, and on
   * what it rests that a response belongs to the request.
   */
  void logTo(RequestLog.Entry entry) {
    logEndTo(entry);
    if (hasStayedUnread()) {
      entry.put("stayedUnread", true);
    }
    ClientExchange current = exchange;
    if (current != null) {
      current
          .connectionObtainedAt()
          .ifPresent(time -> entry.put("connectedMillis", time.minus(startedAt).toMillis()));
      current
          .writtenAt()
          .ifPresent(time -> entry.put("writtenMillis", time.minus(startedAt).toMillis()));
      entry.put("newConnection", current.usesNewConnection()).put("responseId", hasResponseId);
      entry
          .put("serverStartedAtMillis", server.startedAtMillis())
          .put("eventsOfAttempt", eventCount);
    }
  }

  /** Records that the connection of the attempt was lost. */
  void recordLoss(Throwable cause) {
    if (cause instanceof ConnectionLostException lost) {
      recordEnd(lost.reason().name().toLowerCase(Locale.ROOT), lost.reason().isByThisProcess());
    }
  }

  /** Records why the attempt is ended although its connection was not lost. */
  void recordAbort(AbortReason reason) {
    if (closeReason.isEmpty()) {
      recordEnd(reason.text(), reason != AbortReason.INCOMPLETE_RESPONSE);
      core.count(MetricName.of("attempts.aborted", "reason", reason.text()));
    }
  }

  private void recordEnd(String reason, boolean isByGateway) {
    closeReason = Optional.of(reason);
    isClosedByGateway = isByGateway;
  }

  /** Returns whether this process has closed the connection, after the end was recorded. */
  boolean isClosedByGateway() {
    return isClosedByGateway;
  }

  /** Logs who has closed the connection of the attempt, and why. */
  void logEndTo(RequestLog.Entry entry) {
    closeReason.ifPresent(
        reason ->
            entry
                .put("closedBy", isClosedByGateway ? "gateway" : "server")
                .put("closeReason", reason));
  }

  void recordHead(Duration now, ResponseHead head, ResponseFields fields) {
    hasResponseId = fields.requestId().isPresent();
    recordRead(now);
    String requestId = request.inbound().fields().requestId();
    if (ResponseClassifier.announcesLeaving(head, fields, requestId, usesNewConnection())) {
      request.log().addEntry("leaving-announced").put("server", server.id()).markNotable();
      observe(
          "record of a leaving server",
          () -> core.recordLeaving(server.runId(), Duration.ZERO, KnownServers.OWN));
    }
  }

  private void recordRead(Duration now) {
    lastDataAt = now;
    activeTimeAtLastData = core.activeTime();
    observe(
        "record of a sign of life", () -> core.promptHolds().recordSignOfLife(server, startedAt));
  }

  void recordData(Duration now) {
    recordRead(now);
    if (firstPartAt == null) {
      firstPartAt = now;
      Duration time = now.minus(startedAt);
      observe(
          "record of a first part",
          () -> core.recordFirstPart(request, server, time, expectedFirstPart));
    }
  }

  void recordEvent() {
    eventCount++;
    if (eventCount == BEGINNING_EVENTS) {
      recordServerResponse();
    }
    if (eventCount % PARTIAL_GAP_EVENTS == 1) {
      recordPartialGap();
    }
  }

  /** Records the mean gap of the last events, unless a slow caller has delayed them. */
  private void recordPartialGap() {
    Duration from = partialGapFrom;
    partialGapFrom = lastDataAt;
    if (from != null && !wasPaused) {
      Duration gap = lastDataAt.minus(from).dividedBy(PARTIAL_GAP_EVENTS);
      observe(
          "record of a pace",
          () -> core.capacities().recordPartialGap(request.poolName(), server, gap, core.now()));
    }
  }

  /** Records that the server has continued the response past its beginning, or completed it. */
  void recordServerResponse() {
    observe("record of a response", () -> core.promptHolds().recordResponse(request, server));
  }

  /** Records the loss of the connection, perhaps because the prompt crashed the server. */
  void recordServerLoss() {
    observe("record of a loss", () -> core.promptHolds().recordLoss(request, server));
  }

  /**
   * Records something about servers, which concerns later requests only. An error in it does not
   * end this request.
   */
  private static void observe(String what, Runnable action) {
    RepeatedTask.runPart(what, action);
  }

  /** Logs that the server has sent an event that can't be part of the stream. */
  void recordInvalidEvent(EventDefect defect, int length) {
    request
        .log()
        .addEntry("invalid-event")
        .put("server", server.id())
        .put("defect", defect.name())
        .put("bytes", length)
        .markNotable();
    core.count("servers.invalidEvents");
  }

  /** Returns whether the server has sent events of a stream. */
  boolean hasEvents() {
    return eventCount > 0;
  }

  /** Returns whether the server has not continued the response past its beginning. */
  boolean isAtBeginning() {
    return eventCount < BEGINNING_EVENTS;
  }

  /** Returns the time from the given moment to the first part, or zero if none has arrived. */
  Duration timeToFirstPart(Duration from) {
    Duration first = firstPartAt;
    return first == null ? Duration.ZERO : first.minus(from);
  }

  /** Returns whether the time in which a connection is established has passed. */
  boolean isConnectTimeoutOver() {
    return core.activeTime().minus(activeTimeAtStart).compareTo(CONNECT_TIMEOUT) > 0;
  }

  /**
   * Returns whether the server has sent nothing for so long that it is considered unresponsive. The
   * time counts only while this process is able to read what the server sends.
   */
  boolean isUnresponsive(Route route) {
    Duration idleTime = core.activeTime().minus(activeTimeAtLastData);
    if (core.isSuspect(request, server)) {
      return idleTime.compareTo(SUSPECT_TIMEOUT) > 0;
    }
    return idleTime.compareTo(responseTimeout(route)) > 0;
  }

  /**
   * Runs an action once everything that has arrived from the server is read. Before that, the
   * server may seem unresponsive only because this process reads late. Has no effect while an
   * earlier action waits.
   */
  void afterPendingReads(Runnable action) {
    if (!isAwaitingReads) {
      isAwaitingReads = true;
      core.client()
          .afterPendingReads(
              () ->
                  handle(
                      "check",
                      () -> {
                        isAwaitingReads = false;
                        action.run();
                      }));
    }
  }

  private Duration responseTimeout(Route route) {
    if (firstPartAt != null && route.kind() == RouteKind.STREAMING) {
      return route.gapObjective().multipliedBy(GAP_TIMEOUT_FACTOR);
    }
    Duration byObjective =
        Duration.ofNanos((long) (route.firstPartObjective().toNanos() * FIRST_PART_TIMEOUT_FACTOR));
    Duration byEstimate = expectedFirstPart.multipliedBy(ESTIMATE_TIMEOUT_FACTOR);
    return Comparators.max(byObjective, byEstimate);
  }

  void pause() {
    wasPaused = true;
    pausedAt = pausedAt == null ? core.now() : pausedAt;
    ClientExchange current = exchange;
    if (current != null) {
      current.pause();
    }
  }

  void resume() {
    hasStayedUnread = hasStayedUnread();
    pausedAt = null;
    activeTimeAtLastData = boundsMemory() ? core.activeTime() : activeTimeAtLastData;
    ClientExchange current = exchange;
    if (current != null) {
      current.resume();
    }
  }

  private boolean boundsMemory() {
    return request.inbound().exchange().isMemoryBounded();
  }

  /**
   * Returns whether the response was not read for so long, because its caller is behind, that its
   * server may cut it off for that. What is read after a pause may have been cut off during it.
   */
  boolean hasStayedUnread() {
    Duration since = pausedAt;
    boolean isUnread = since != null && core.now().minus(since).compareTo(UNREAD_TIME) >= 0;
    return boundsMemory() && (hasStayedUnread || isUnread);
  }

  /** Returns whether the server can't show that it responds, because it is not read. */
  boolean isUnreadable() {
    return boundsMemory() && pausedAt != null;
  }

  /** Reports the result of the attempt to the scheduler, at most once. */
  void report(AttemptResult result) {
    if (!reported) {
      reported = true;
      observe("record of a time", this::recordTimes);
      observe("record of a version", () -> recordForRollout(result));
      core.endAttempt(request, server, result);
    }
  }

  /** Records the response as evidence about the version of its server. */
  private void recordForRollout(AttemptResult result) {
    Duration elapsed = core.now().minus(startedAt);
    Route route = request.inbound().route();
    boolean isFailure = result == AttemptResult.FAILED || result == AttemptResult.UNREACHABLE;
    // A response that was given up shows something only if it was late.
    boolean isLate =
        result == AttemptResult.NEUTRAL
            && isConnected()
            && elapsed.compareTo(route.firstPartObjective().multipliedBy(LATE_FACTOR)) > 0;
    if (isFailure || isLate || result == AttemptResult.SERVED) {
      Duration firstPart = firstPartAt == null ? elapsed : timeToFirstPart(startedAt);
      core.rollouts()
          .recordResponse(request.poolName(), route.name(), server, isFailure, firstPart, elapsed);
    }
  }

  private void recordTimes() {
    Duration first = firstPartAt;
    // The assumed speeds include the delays of slow callers; the learned ones don't.
    boolean isMeasured = !wasPaused || !core.capacities().areLearned();
    if (first != null && eventCount > 1 && isMeasured && !hasStayedUnread()) {
      core.recordEventGap(request, server, lastDataAt.minus(first).dividedBy(eventCount - 1));
    }
    ClientExchange current = exchange;
    if (current != null) {
      current.writtenAt().ifPresent(time -> core.recordWriteTime(time.minus(startedAt)));
    }
  }

  /** Marks the server as suspect, at most once, while its response is still awaited. */
  void markServerSuspect() {
    if (!markedSuspect) {
      markedSuspect = true;
      core.markSuspect(request, server);
    }
  }

  boolean hasMarkedServerSuspect() {
    return markedSuspect;
  }

  /** Ends the attempt and closes its connection, so that the server stops running the request. */
  void abandon(AttemptResult result) {
    try {
      report(result);
    } finally {
      ClientExchange current = exchange;
      if (current != null) {
        current.abort();
      }
    }
  }

  private void handle(String step, Runnable action) {
    core.withLock(() -> core.guard().run(request, step, action));
  }

  @Override
  public void onHead(ResponseHead head) {
    handle("head", () -> request.headReceived(this, head));
  }

  @Override
  public void onStart(int status, @Nullable String contentType) {
    throw new IllegalStateException("the HTTP client must call onHead instead of onStart");
  }

  @Override
  public void onData(byte[] data) {
    handle("data", () -> request.dataReceived(this, data));
  }

  @Override
  public void onComplete() {
    handle("end", () -> request.responseCompleted(this));
  }

  @Override
  public void onConnectFailure(Throwable cause) {
    handle("loss", () -> request.attemptLost(this, false, cause));
  }

  @Override
  public void onFailure(Throwable cause) {
    handle("loss", () -> request.attemptLost(this, true, cause));
  }
}
