package org.wigeonstage.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.opentelemetry.api.trace.Span;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongConsumer;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.admission.OutputLengthEstimator;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.Json;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.dispatch.DispatchResult;
import org.wigeonstage.http.ProblemDetails;
import org.wigeonstage.http.ServerExchange;
import org.wigeonstage.request.Outcome;
import org.wigeonstage.request.RequestId;

/**
 * Gives one caller its answer.
 *
 * <p>An event stream is passed on as it comes, with a last event that says the outcome. Any other
 * answer is held until it is whole, so that its header can say the outcome; one that grows too
 * large for that is passed on, and its connection is closed if it breaks off. Not safe for several
 * threads.
 */
final class CallerAnswer {

  static final String ID_HEADER = "Wigeonstage-Request-Id";
  static final String OUTCOME_HEADER = "Wigeonstage-Outcome";
  private static final int MAX_HELD_BYTES = 256 * 1024;
  private static final int ACKNOWLEDGED_STEP_BYTES = 32 * 1024;
  private static final String EVENT_STREAM = "text/event-stream";
  private static final long RETRY_AFTER_SECONDS = 1;

  private final ServerExchange exchange;
  private final RequestId id;
  private final OutputLengthEstimator.RequestGroup subject;
  private final Span span;
  private final Duration startedAt;
  private final LongConsumer consumed;
  private final ByteArrayOutputStream held = new ByteArrayOutputStream();
  private int status;
  private @Nullable String contentType;
  private boolean streaming;
  private Instant offeredAt = Instant.EPOCH;
  private long acknowledged;
  private int parts;
  private int events;

  CallerAnswer(
      ServerExchange exchange,
      RequestId id,
      OutputLengthEstimator.RequestGroup subject,
      Span span,
      Duration startedAt,
      LongConsumer consumed) {
    this.exchange = exchange;
    this.id = id;
    this.subject = subject;
    this.span = span;
    this.startedAt = startedAt;
    this.consumed = consumed;
  }

  OutputLengthEstimator.RequestGroup subject() {
    return subject;
  }

  Span span() {
    return span;
  }

  /** Notes that an agent was offered the request. */
  void offered(Instant at) {
    offeredAt = at;
  }

  Instant offeredAt() {
    return offeredAt;
  }

  Duration startedAt() {
    return startedAt;
  }

  int parts() {
    return parts;
  }

  void began(int newStatus, @Nullable String newContentType) {
    status = newStatus;
    contentType = newContentType;
    if (isEventStream()) {
      beginStreaming();
    }
  }

  private boolean isEventStream() {
    return contentType != null && contentType.startsWith(EVENT_STREAM);
  }

  private void beginStreaming() {
    streaming = true;
    exchange.onDelivered(this::acknowledge);
    exchange.start(status, contentType, Map.of(ID_HEADER, id.value()));
  }

  void continued(byte[] data) {
    parts++;
    events += countEvents(data);
    if (streaming) {
      exchange.write(data);
      return;
    }
    held.writeBytes(data);
    if (held.size() > MAX_HELD_BYTES) {
      beginStreaming();
      exchange.write(held.toByteArray());
      held.reset();
    } else {
      acknowledge(held.size());
    }
  }

  /** Passes on how much was taken, in steps well below the agent's stream window. */
  private void acknowledge(long offset) {
    if (offset - acknowledged >= ACKNOWLEDGED_STEP_BYTES) {
      acknowledged = offset;
      consumed.accept(offset);
    }
  }

  /** Counts the ends of events; one that falls on the border of two parts is passed over. */
  private static int countEvents(byte[] data) {
    int count = 0;
    for (int i = 1; i < data.length; i++) {
      count += data[i] == '\n' && data[i - 1] == '\n' ? 1 : 0;
    }
    return count;
  }

  /** Returns about how many tokens the answer had, or 0 where that can't be told. */
  int outputTokens() {
    if (streaming) {
      return Math.max(0, events - 1);
    }
    try {
      String text = held.toString(StandardCharsets.UTF_8);
      return Json.parse(text).at("/usage/completion_tokens").asInt(0);
    } catch (WigeonstageException e) {
      return 0;
    }
  }

  void finished(DispatchResult result) {
    span.setAttribute("wigeonstage.outcome", result.outcome().text());
    span.end();
    if (streaming) {
      finishStream(result);
    } else if (result.outcome() == Outcome.COMPLETED && result.reason() == null) {
      exchange.respond(status, contentType, headers(result.outcome()), held.toByteArray());
    } else {
      ErrorCode reason = result.reason() == null ? ErrorCode.ANSWER_LOST : result.reason();
      refuse(exchange, id, reason, result.outcome(), detailOf(result.outcome()));
    }
  }

  private void finishStream(DispatchResult result) {
    if (isEventStream()) {
      exchange.write(outcomeEvent(result).getBytes(StandardCharsets.UTF_8));
      exchange.end();
    } else if (result.outcome() == Outcome.COMPLETED) {
      exchange.end();
    } else {
      exchange.abort();
    }
  }

  private String outcomeEvent(DispatchResult result) {
    ErrorCode reason = result.reason();
    ObjectNode data =
        ProblemDetails.json(reason == null ? ErrorCode.ANSWER_LOST : reason, "")
            .retain("code")
            .put("requestId", id.value())
            .put("outcome", result.outcome().text());
    if (reason == null) {
      data.remove("code");
    }
    return "event: wigeonstage-outcome\ndata: " + data + "\n\n";
  }

  private Map<String, String> headers(Outcome outcome) {
    Map<String, String> headers = new HashMap<>();
    headers.put(ID_HEADER, id.value());
    headers.put(OUTCOME_HEADER, outcome.text());
    return headers;
  }

  private static String detailOf(Outcome outcome) {
    return switch (outcome) {
      case COMPLETED -> "the request completed earlier; its answer is no longer held";
      case NOT_RUN -> "the request was not run anywhere";
      case UNKNOWN -> "the request may have run; its answer is not available";
    };
  }

  static void refuse(
      ServerExchange exchange, RequestId id, ErrorCode reason, Outcome outcome, String detail) {
    Map<String, String> headers = new HashMap<>();
    headers.put(ID_HEADER, id.value());
    headers.put(OUTCOME_HEADER, outcome.text());
    if (outcome == Outcome.NOT_RUN) {
      headers.put("Retry-After", Long.toString(RETRY_AFTER_SECONDS));
    }
    ObjectNode body = ProblemDetails.json(reason, detail).put("outcome", outcome.text());
    exchange.respond(
        reason.httpStatus(),
        ProblemDetails.MEDIA_TYPE,
        headers,
        body.toString().getBytes(StandardCharsets.UTF_8));
  }
}
