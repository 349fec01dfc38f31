package org.wigeonstage.gateway;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.wigeonstage.forward.EventSplitter;
import org.wigeonstage.http.ResponseHead;
import org.wigeonstage.http.ServerExchange;
import org.wigeonstage.request.HeaderFields;
import org.wigeonstage.routes.Route;

/** The answer that a caller gets, from one attempt or, where it is a stream, from several. */
final class CallerResponse {

  /** Bodies up to this size are held until they are whole, so that a broken one can be replaced. */
  private static final int MAX_HELD_BYTES = 64 * 1024;

  /** Reading from the backend server pauses while the caller is this far behind. */
  private static final long MAX_BACKLOG_BYTES = 256 * 1024;

  private final GatewayCore core;
  private final ServerExchange exchange;
  private final Route route;
  private final StreamProgress progress;
  private final EventSplitter splitter = new EventSplitter();
  private final ByteArrayOutputStream held = new ByteArrayOutputStream();
  private HeaderFields fields = HeaderFields.NONE;
  private boolean isStream;
  private boolean begun;
  private boolean paused;

  CallerResponse(GatewayCore core, InboundRequest call) {
    this.core = core;
    this.exchange = call.exchange();
    this.route = call.route();
    this.progress = new StreamProgress(call.fields().lastEventId());
  }

  /** Returns whether the caller has a part of the answer. */
  boolean hasBegun() {
    return begun;
  }

  boolean isStream() {
    return isStream;
  }

  /**
   * Returns the identifier of the last event that the caller got, after which the stream goes on.
   */
  OptionalLong lastEventId() {
    return progress.lastEventId();
  }

  Optional<Duration> lastEventAt() {
    return progress.lastEventAt();
  }

  /** Drops what was held of an attempt that ended. */
  void attemptEnded() {
    splitter.takeRemainder();
    held.reset();
  }

  /** Takes the beginning of an attempt's answer. */
  void take(ResponseHead head, HeaderFields passedBack) {
    fields = passedBack;
    isStream = ResponseClassifier.isEventStream(route, head);
  }

  /**
   * Takes a part of the body.
   *
   * @param isFirst whether no attempt before can have begun the answer
   * @return whether the part was sound
   */
  boolean take(ResponseHead head, byte[] data, Attempt source, boolean isFirst) {
    if (isStream) {
      for (EventSplitter.Event event : splitter.feed(data)) {
        progress.passedOn(event, core.now());
        source.eventArrived();
        write(head, event.bytes(), isFirst);
      }
      if (splitter.isTooLong()) {
        return false;
      }
    } else if (begun) {
      exchange.write(data);
    } else {
      held.writeBytes(data);
      if (held.size() > MAX_HELD_BYTES) {
        write(head, held.toByteArray(), isFirst);
        held.reset();
      }
    }
    if (exchange.undeliveredBytes() > MAX_BACKLOG_BYTES) {
      paused = true;
      source.pause();
    }
    return true;
  }

  private void write(ResponseHead head, byte[] data, boolean isFirst) {
    if (!begun) {
      begun = true;
      begin(head, isStream || !isFirst ? -1 : head.contentLength());
    }
    exchange.write(data);
  }

  private void begin(ResponseHead head, long contentLength) {
    exchange.start(head.status(), core.closing(fields), contentLength);
  }

  /** Returns whether the caller has just caught up, so that reading goes on. */
  boolean catchesUp() {
    boolean caughtUp = paused && exchange.undeliveredBytes() == 0;
    paused &= !caughtUp;
    return caughtUp;
  }

  /** Ends the answer. */
  void end(ResponseHead head) {
    if (isStream) {
      byte[] rest = splitter.takeRemainder();
      if (!begun) {
        begin(head, -1);
      }
      exchange.write(rest);
    } else if (!begun) {
      byte[] body = held.toByteArray();
      begin(head, body.length);
      exchange.write(body);
    }
    exchange.end();
  }

  /** Notes how far a stream had come, here and at its caller. */
  void describe(RequestLog.Step step, Duration now) {
    if (isStream || progress.lastEventAt().isPresent()) {
      progress.describe(step, now);
      step.put("readingPaused", paused).put("untakenBytes", exchange.undeliveredBytes());
    }
  }
}
