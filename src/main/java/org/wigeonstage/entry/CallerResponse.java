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
import org.wigeonstage.http.ProblemDetails;
import org.wigeonstage.http.ServerExchange;
import org.wigeonstage.offer.SubmissionResult;
import org.wigeonstage.request.Outcome;
import org.wigeonstage.request.RequestId;

/**
 * The response to one caller.
 *
 * <p>An event stream is passed on as it arrives, followed by an event with the outcome. Any other
 * response is buffered until it is complete, so that a header field can carry the outcome. A
 * response that outgrows the buffer is passed on without the outcome, and the connection to the
 * caller is closed if the response cannot be completed. Not thread-safe.
 */
final class CallerResponse {

  static final String ID_HEADER = "Wigeonstage-Request-Id";
  static final String OUTCOME_HEADER = "Wigeonstage-Outcome";
  private static final int MAX_BUFFERED_BYTES = 256 * 1024;
  private static final int ACKNOWLEDGEMENT_STEP_BYTES = 32 * 1024;
  private static final String EVENT_STREAM_TYPE = "text/event-stream";
  private static final long RETRY_AFTER_SECONDS = 1;

  private final ServerExchange exchange;
  private final RequestId id;
  private final OutputLengthEstimator.RequestGroup requestGroup;
  private final Span span;
  private final Duration arrivedAt;
  private final LongConsumer acknowledgements;
  private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
  private int status;
  private @Nullable String contentType;
  private boolean streaming;
  private Instant offeredAt = Instant.EPOCH;
  private long acknowledgedOffset;
  private int partCount;
  private int eventEndCount;

  CallerResponse(
      ServerExchange exchange,
      RequestId id,
      OutputLengthEstimator.RequestGroup requestGroup,
      Span span,
      Duration arrivedAt,
      LongConsumer acknowledgements) {
    this.exchange = exchange;
    this.id = id;
    this.requestGroup = requestGroup;
    this.span = span;
    this.arrivedAt = arrivedAt;
    this.acknowledgements = acknowledgements;
  }

  OutputLengthEstimator.RequestGroup requestGroup() {
    return requestGroup;
  }

  Span span() {
    return span;
  }

  /** Records when the request was last offered to an agent. */
  void recordOffer(Instant at) {
    offeredAt = at;
  }

  Instant offeredAt() {
    return offeredAt;
  }

  Duration arrivedAt() {
    return arrivedAt;
  }

  int partCount() {
    return partCount;
  }

  void start(int newStatus, @Nullable String newContentType) {
    status = newStatus;
    contentType = newContentType;
    if (isEventStream()) {
      startStreaming();
    }
  }

  private boolean isEventStream() {
    return contentType != null && contentType.startsWith(EVENT_STREAM_TYPE);
  }

  private void startStreaming() {
    streaming = true;
    exchange.onDelivered(this::acknowledge);
    exchange.start(status, contentType, Map.of(ID_HEADER, id.value()));
  }

  void append(byte[] data) {
    partCount++;
    eventEndCount += countEventEnds(data);
    if (streaming) {
      exchange.write(data);
      return;
    }
    buffer.writeBytes(data);
    if (buffer.size() > MAX_BUFFERED_BYTES) {
      startStreaming();
      exchange.write(buffer.toByteArray());
      buffer.reset();
    } else {
      acknowledge(buffer.size());
    }
  }

  /** Acknowledges delivered bytes in steps that are well below the agent's stream window. */
  private void acknowledge(long offset) {
    if (offset - acknowledgedOffset >= ACKNOWLEDGEMENT_STEP_BYTES) {
      acknowledgedOffset = offset;
      acknowledgements.accept(offset);
    }
  }

  /** Counts the ends of events. An end that is split between two parts is not counted. */
  private static int countEventEnds(byte[] data) {
    int count = 0;
    for (int i = 1; i < data.length; i++) {
      count += data[i] == '\n' && data[i - 1] == '\n' ? 1 : 0;
    }
    return count;
  }

  /**
   * Returns the approximate number of tokens in the response, or 0 if it is unknown. Each event of
   * a stream except the last one counts as a token.
   */
  int outputTokens() {
    if (streaming) {
      return Math.max(0, eventEndCount - 1);
    }
    try {
      String text = buffer.toString(StandardCharsets.UTF_8);
      return Json.parse(text).at("/usage/completion_tokens").asInt(0);
    } catch (WigeonstageException e) {
      return 0;
    }
  }

  void finish(SubmissionResult result) {
    span.setAttribute("wigeonstage.outcome", result.outcome().text());
    span.end();
    if (streaming) {
      finishStream(result);
    } else if (result.outcome() == Outcome.COMPLETED && result.reason() == null) {
      exchange.respond(status, contentType, fields(result.outcome()), buffer.toByteArray());
    } else {
      ErrorCode reason = result.reason() == null ? ErrorCode.ANSWER_LOST : result.reason();
      respondWithProblem(exchange, id, reason, result.outcome(), detailOf(result.outcome()));
    }
  }

  private void finishStream(SubmissionResult result) {
    if (isEventStream()) {
      exchange.write(outcomeEvent(result).getBytes(StandardCharsets.UTF_8));
      exchange.end();
    } else if (result.outcome() == Outcome.COMPLETED) {
      exchange.end();
    } else {
      exchange.abort();
    }
  }

  private String outcomeEvent(SubmissionResult result) {
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

  private Map<String, String> fields(Outcome outcome) {
    Map<String, String> fields = new HashMap<>();
    fields.put(ID_HEADER, id.value());
    fields.put(OUTCOME_HEADER, outcome.text());
    return fields;
  }

  private static String detailOf(Outcome outcome) {
    return switch (outcome) {
      case COMPLETED -> "the request completed earlier; its response is no longer available";
      case NOT_RUN -> "the request was not run";
      case UNKNOWN -> "the request may have run; its response is not available";
    };
  }

  /** Responds with the reason and the outcome instead of a response of a backend server. */
  static void respondWithProblem(
      ServerExchange exchange, RequestId id, ErrorCode reason, Outcome outcome, String detail) {
    Map<String, String> fields = new HashMap<>();
    fields.put(ID_HEADER, id.value());
    fields.put(OUTCOME_HEADER, outcome.text());
    if (outcome == Outcome.NOT_RUN) {
      fields.put("Retry-After", Long.toString(RETRY_AFTER_SECONDS));
    }
    ObjectNode body = ProblemDetails.json(reason, detail).put("outcome", outcome.text());
    exchange.respond(
        reason.httpStatus(),
        ProblemDetails.MEDIA_TYPE,
        fields,
        body.toString().getBytes(StandardCharsets.UTF_8));
  }
}
