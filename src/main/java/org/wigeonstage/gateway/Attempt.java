package org.wigeonstage.gateway;

import com.google.common.collect.Comparators;
import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.forward.AttemptFailure;
import org.wigeonstage.http.ClientExchange;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.OutboundCall;
import org.wigeonstage.http.ResponseHead;
import org.wigeonstage.http.ResponseListener;
import org.wigeonstage.placement.AttemptResult;
import org.wigeonstage.routes.Route;
import org.wigeonstage.routes.RouteKind;

/** One sending of a request to a backend server. */
final class Attempt implements ResponseListener {

  /** Connections are established in a few milliseconds, over failure domains too. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

  /** Servers state how long they keep idle connections; that limit holds beside this one. */
  private static final Duration MAX_IDLE = Duration.ofSeconds(30);

  /**
   * A request that must not be sent twice, or was sent before, uses a kept connection only if it
   * was in use just now: servers close idle ones after seconds, and one that is closed meanwhile
   * costs the request.
   */
  private static final Duration MAX_IDLE_FOR_LAST_SENDING = Duration.ofMillis(500);

  /** A first part that is this many objectives late will not come. */
  private static final double FIRST_PART_PATIENCE = 2;

  /** A first part that takes this many times as long as expected will not come. */
  private static final int ESTIMATE_PATIENCE = 5;

  /** A pause of this many objectives means that the stream is dead. */
  private static final int PAUSE_PATIENCE = 3;

  /** How long a server may be silent that others could not reach lately. */
  private static final Duration SUSPECT_PATIENCE = Duration.ofMillis(250);

  private final ForwardedRequest request;
  private final GatewayCore core;
  private final BackendServer server;
  private final Duration startedAt;
  private final Duration expectedFirstPart;
  private final Duration watchedFrom;
  private @Nullable ClientExchange exchange;
  private @Nullable Duration firstPartAt;
  private Duration lastDataAt;
  private Duration watchedSince;
  private int events;
  private boolean reported;
  private boolean suspected;
  private boolean isConfirming;

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
    this.watchedFrom = core.watchedTime();
    this.watchedSince = watchedFrom;
  }

  /** Returns what the end of an attempt says about its server. */
  static AttemptResult resultOf(AttemptFailure end) {
    return switch (end) {
      case NOT_SENT, LOST -> AttemptResult.UNREACHABLE;
      case TIMED_OUT -> AttemptResult.NEUTRAL;
      case MISDIRECTED -> AttemptResult.REPLACED;
      case DECLINED -> AttemptResult.DECLINED;
      case INVALID, FAILED, CUT -> AttemptResult.FAILED;
    };
  }

  BackendServer server() {
    return server;
  }

  /**
   * Sends the request.
   *
   * @param mayBeLost whether it can be sent again if the connection turns out to be closed
   */
  void send(Endpoint target, OutboundCall call, boolean mayBeLost) {
    exchange =
        core.client().send(target, call, mayBeLost ? MAX_IDLE : MAX_IDLE_FOR_LAST_SENDING, this);
  }

  boolean wasSent() {
    ClientExchange current = exchange;
    return current != null && current.isConnected();
  }

  /** Returns what the attempt waits for next. */
  String waitsFor() {
    if (!wasSent()) {
      return "connection";
    }
    return firstPartAt == null ? "first-part" : "rest-of-answer";
  }

  /** Gives the attempt up if nothing was sent; returns whether nothing was, nor ever will be. */
  boolean cancelUnsent() {
    ClientExchange current = exchange;
    return current == null || current.cancelIfUnsent();
  }

  /** Notes how long the sending took, since the decision to send. */
  void describe(RequestLog.Step step) {
    ClientExchange current = exchange;
    if (current != null) {
      current
          .connectedAt()
          .ifPresent(time -> step.put("connectedMillis", time.minus(startedAt).toMillis()));
      current
          .writtenAt()
          .ifPresent(time -> step.put("writtenMillis", time.minus(startedAt).toMillis()));
    }
  }

  void headArrived(Duration now) {
    lastDataAt = now;
    watchedSince = core.watchedTime();
  }

  void dataArrived(Duration now) {
    lastDataAt = now;
    watchedSince = core.watchedTime();
    if (firstPartAt == null) {
      firstPartAt = now;
      core.firstPart(request, server, now.minus(startedAt));
    }
  }

  void eventArrived() {
    events++;
  }

  /** Returns the time from a moment to the first part, or zero where there was none. */
  Duration firstPartSince(Duration moment) {
    Duration first = firstPartAt;
    return first == null ? Duration.ZERO : first.minus(moment);
  }

  /** Returns whether there is no connection after the time in which one is established. */
  boolean isUnconnected() {
    return core.watchedTime().minus(watchedFrom).compareTo(CONNECT_TIMEOUT) > 0;
  }

  /**
   * Returns whether the server was silent for so long that it is taken as lost. Only time counts in
   * which this process was awake to hear it.
   */
  boolean isSilent(Route route) {
    Duration silence = core.watchedTime().minus(watchedSince);
    if (core.isSuspect(request, server)) {
      return silence.compareTo(SUSPECT_PATIENCE) > 0;
    }
    return silence.compareTo(patience(route)) > 0;
  }

  /**
   * Runs an action once it is certain that nothing of the server waits to be read. Silence alone
   * does not show that, because this process may read late.
   */
  void whenSilenceIsCertain(Runnable action) {
    if (!isConfirming) {
      isConfirming = true;
      core.client()
          .afterPendingReads(
              () ->
                  core.run(
                      () -> {
                        isConfirming = false;
                        action.run();
                      }));
    }
  }

  private Duration patience(Route route) {
    if (firstPartAt != null && route.kind() == RouteKind.STREAMING) {
      return route.gapObjective().multipliedBy(PAUSE_PATIENCE);
    }
    Duration byObjective =
        Duration.ofNanos((long) (route.firstPartObjective().toNanos() * FIRST_PART_PATIENCE));
    Duration byEstimate = expectedFirstPart.multipliedBy(ESTIMATE_PATIENCE);
    return Comparators.max(byObjective, byEstimate);
  }

  void pause() {
    ClientExchange current = exchange;
    if (current != null) {
      current.pause();
    }
  }

  void resume() {
    ClientExchange current = exchange;
    if (current != null) {
      current.resume();
    }
  }

  /** Tells the scheduler what the attempt says about the server, once. */
  void report(AttemptResult result) {
    if (!reported) {
      reported = true;
      Duration first = firstPartAt;
      if (first != null && events > 1) {
        core.eventPace(request, server, lastDataAt.minus(first).dividedBy(events - 1));
      }
      ClientExchange current = exchange;
      if (current != null) {
        current.writtenAt().ifPresent(time -> core.attemptWritten(time.minus(startedAt)));
      }
      core.attemptReported(request, server, result);
    }
  }

  /** Has the server avoided for its silence, once, while its answer is still waited for. */
  void suspect() {
    if (!suspected) {
      suspected = true;
      core.suspect(request, server);
    }
  }

  boolean isSuspected() {
    return suspected;
  }

  /** Ends the attempt and closes its connection, so that the server stops its work. */
  void abandon(AttemptResult result) {
    report(result);
    ClientExchange current = exchange;
    if (current != null) {
      current.abort();
    }
  }

  @Override
  public void onHead(ResponseHead head) {
    core.run(() -> request.answered(this, head));
  }

  @Override
  public void onStart(int status, @Nullable String contentType) {
    throw new IllegalStateException("only whole heads are taken");
  }

  @Override
  public void onData(byte[] data) {
    core.run(() -> request.continued(this, data));
  }

  @Override
  public void onComplete() {
    core.run(() -> request.ended(this));
  }

  @Override
  public void onConnectFailure(Throwable cause) {
    core.run(() -> request.lost(this, false, cause));
  }

  @Override
  public void onFailure(Throwable cause) {
    core.run(() -> request.lost(this, true, cause));
  }
}
