package org.wigeonstage.gateway;

import com.google.common.primitives.Bytes;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.wigeonstage.forward.EventDefect;
import org.wigeonstage.forward.EventSplitter;
import org.wigeonstage.forward.EventValidator;
import org.wigeonstage.http.ResponseHead;
import org.wigeonstage.http.ServerExchange;
import org.wigeonstage.request.HeaderFields;
import org.wigeonstage.routes.Route;

/** The response to a caller, built from one attempt or, for a stream, from several. */
final class CallerResponse {

  /** Bodies up to this size are buffered until complete, so that a truncated one can be retried. */
  private static final int MAX_BUFFERED_BYTES = 64 * 1024;

  /** Reading from the backend server pauses while more bytes are undelivered to the caller. */
  private static final long MAX_UNDELIVERED_BYTES = 256 * 1024;

  private final GatewayCore core;
  private final ServerExchange exchange;
  private final Route route;
  private final StreamProgress progress;
  private final EventValidator validator;
  private final EventSplitter splitter = new EventSplitter();
  private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
  private HeaderFields fields = HeaderFields.NONE;
  private boolean isStream;
  private boolean started;
  private boolean paused;

  CallerResponse(GatewayCore core, InboundRequest inbound) {
    this.core = core;
    this.exchange = inbound.exchange();
    this.route = inbound.route();
    this.progress = new StreamProgress(inbound.fields().lastEventId());
    this.validator = new EventValidator(core.headerCodec()::isRepeatedField);
  }

  /** Returns whether part of the response has been sent to the caller. */
  boolean hasStarted() {
    return started;
  }

  boolean isStream() {
    return isStream;
  }

  /** Returns the identifier of the last event sent to the caller, after which a stream resumes. */
  OptionalLong lastEventId() {
    return progress.lastEventId();
  }

  Optional<Duration> lastEventAt() {
    return progress.lastEventAt();
  }

  /** Discards what is buffered of an attempt that has ended. */
  void discardBuffered() {
    splitter.takeRemainder();
    resetBuffer();
  }

  /** Applies the head of an attempt's response. */
  void applyHead(ResponseHead head, HeaderFields forwardedFields) {
    fields = forwardedFields;
    isStream = ResponseClassifier.isEventStream(route, exchange.method(), head);
  }

  /**
   * Buffers or sends part of the body.
   *
   * @param isFirstAttempt whether no earlier attempt can have started the response
   * @return false if the part is invalid; what precedes the invalid event is sent
   */
  boolean applyData(ResponseHead head, byte[] data, Attempt source, boolean isFirstAttempt) {
    if (isStream) {
      if (!applyEvents(head, splitter.feed(data), source, isFirstAttempt)) {
        return false;
      }
      if (splitter.isTooLong()) {
        source.recordInvalidEvent(EventDefect.TOO_LONG, EventSplitter.MAX_EVENT_BYTES);
        return false;
      }
    } else if (started) {
      exchange.write(data);
    } else {
      buffer.writeBytes(data);
      if (buffer.size() > MAX_BUFFERED_BYTES) {
        write(head, buffer.toByteArray(), isFirstAttempt);
        resetBuffer();
      } else {
        exchange.setBufferedBytes(buffer.size());
      }
    }
    if (exchange.heldBytes() > MAX_UNDELIVERED_BYTES) {
      paused = true;
      source.pause();
    }
    return true;
  }

  /**
   * Sends the events up to the first invalid one. Events that were read together are written
   * together, which takes one system call and one packet.
   */
  private boolean applyEvents(
      ResponseHead head, List<EventSplitter.Event> events, Attempt source, boolean isFirstAttempt) {
    List<byte[]> sound = new ArrayList<>(events.size());
    Optional<EventDefect> defect = Optional.empty();
    for (EventSplitter.Event event : events) {
      defect = validator.defectOf(event, progress.lastEventId());
      if (defect.isPresent()) {
        source.recordInvalidEvent(defect.get(), event.bytes().length);
        break;
      }
      if (event.id().isPresent()) { // otherwise a comment or a reconnection time
        progress.recordEvent(event, core.now());
        source.recordEvent();
        sound.add(event.bytes());
      }
    }
    if (!sound.isEmpty()) {
      byte[] data = sound.size() == 1 ? sound.get(0) : Bytes.concat(sound.toArray(byte[][]::new));
      write(head, data, isFirstAttempt);
    }
    return defect.isEmpty();
  }

  private void resetBuffer() {
    buffer.reset();
    exchange.setBufferedBytes(0);
  }

  private void write(ResponseHead head, byte[] data, boolean isFirstAttempt) {
    if (!started) {
      started = true;
      start(head, isStream || !isFirstAttempt ? -1 : head.contentLength());
    }
    exchange.write(data);
  }

  private void start(ResponseHead head, long contentLength) {
    exchange.start(head.status(), core.closeIfLeaving(fields), contentLength);
  }

  /** Ends the pause in reading if everything is delivered; returns whether it ended a pause. */
  boolean tryEndPause() {
    boolean isDelivered = paused && exchange.undeliveredBytes() == 0;
    paused &= !isDelivered;
    return isDelivered;
  }

  /**
   * Returns whether the server has ended a stream inside an event, or before its first one. A
   * resumed stream may have no further event, unless only the end of its connection says so.
   */
  boolean isIncompleteStream(ResponseHead head, Attempt source) {
    boolean mayHaveNoEvent = head.isFramed() && progress.lastEventId().isPresent();
    boolean lacksEvent = !source.hasEvents() && !mayHaveNoEvent;
    return isStream && (lacksEvent || splitter.isInsideEvent());
  }

  /** Sends what is buffered and completes the response. */
  void complete(ResponseHead head) {
    if (!isStream && !started) {
      exchange.respond(head.status(), core.closeIfLeaving(fields), buffer.toByteArray());
      resetBuffer();
      return;
    }
    if (!started) {
      start(head, -1);
    }
    exchange.end();
  }

  /** Adds to a log entry how far a stream has advanced, at this process and at its caller. */
  void logTo(RequestLog.Entry entry, Duration now) {
    if (isStream || progress.lastEventAt().isPresent()) {
      progress.logTo(entry, now);
      entry.put("readingPaused", paused).put("untakenBytes", exchange.undeliveredBytes());
    }
  }
}
