package org.wigeonstage.gateway;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.http.AnswerHead;
import org.wigeonstage.http.AnswerListener;
import org.wigeonstage.http.ClientExchange;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.OutboundCall;
import org.wigeonstage.placement.AttemptResult;
import org.wigeonstage.routes.Route;

/** One sending of a request to a backend server. */
final class Attempt implements AnswerListener {

  /** Connections are established in a few milliseconds, over failure domains too. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

  /** A first part that is this many objectives late will not come. */
  private static final double FIRST_PART_PATIENCE = 1.25;

  /** A pause of this many objectives means that the stream is dead. */
  private static final int PAUSE_PATIENCE = 3;

  private final ForwardedRequest request;
  private final GatewayCore core;
  private final BackendServer server;
  private final Duration startedAt;
  private @Nullable ClientExchange exchange;
  private @Nullable Duration firstPartAt;
  private Duration lastDataAt;
  private int events;
  private boolean reported;

  Attempt(ForwardedRequest request, GatewayCore core, BackendServer server, Duration startedAt) {
    this.request = request;
    this.core = core;
    this.server = server;
    this.startedAt = startedAt;
    this.lastDataAt = startedAt;
  }

  BackendServer server() {
    return server;
  }

  void send(Endpoint target, OutboundCall call, boolean fresh) {
    exchange = core.client().send(target, call, fresh, this);
  }

  boolean wasSent() {
    ClientExchange current = exchange;
    return current != null && current.isConnected();
  }

  void headArrived(Duration now) {
    lastDataAt = now;
  }

  void dataArrived(Duration now) {
    lastDataAt = now;
    if (firstPartAt == null) {
      firstPartAt = now;
      core.firstPart(request, server, now.minus(startedAt));
    }
  }

  void eventArrived(Duration now) {
    events++;
  }

  /** Returns the time from a moment to the first part, or zero where there was none. */
  Duration firstPartSince(Duration moment) {
    Duration first = firstPartAt;
    return first == null ? Duration.ZERO : first.minus(moment);
  }

  /** Returns whether the server was silent for so long that it is taken as lost. */
  boolean isSilent(Duration now, Route route, boolean canRepeat) {
    if (!wasSent()) {
      return now.minus(startedAt).compareTo(CONNECT_TIMEOUT) > 0;
    }
    if (!route.mayRepeat() || !canRepeat) {
      return false;
    }
    Duration limit =
        firstPartAt == null
            ? Duration.ofNanos((long) (route.firstPartObjective().toNanos() * FIRST_PART_PATIENCE))
            : route.pauseObjective().multipliedBy(PAUSE_PATIENCE);
    return !limit.isZero() && now.minus(lastDataAt).compareTo(limit) > 0;
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
      core.attemptReported(request, server, result);
    }
  }

  /** Ends the attempt without its connection; what still comes is ignored. */
  void leave(AttemptResult result) {
    report(result);
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
  public void head(AnswerHead head) {
    core.run(() -> request.answered(this, head));
  }

  @Override
  public void began(int status, @Nullable String contentType) {
    throw new IllegalStateException("only whole heads are taken");
  }

  @Override
  public void continued(byte[] data) {
    core.run(() -> request.continued(this, data));
  }

  @Override
  public void ended() {
    core.run(() -> request.ended(this));
  }

  @Override
  public void notConnected(Throwable cause) {
    core.run(() -> request.lost(this, false));
  }

  @Override
  public void broken(Throwable cause) {
    core.run(() -> request.lost(this, true));
  }
}
