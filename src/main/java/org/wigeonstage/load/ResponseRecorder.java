package org.wigeonstage.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.Json;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.http.ResponseListener;
import org.wigeonstage.request.Outcome;
import org.wigeonstage.standin.EngineResponses;

/**
 * Receives the response to one request of an experiment, checks it, and records when the pieces of
 * its body arrived.
 */
final class ResponseRecorder implements ResponseListener {

  private static final int OK = 200;
  private static final String DATA = "data: ";
  private static final String OUTCOME_EVENT = "event: wigeonstage-outcome";

  private final PlannedRequest request;
  private final Duration dueAt;
  private final MonotonicClock clock;
  private final Consumer<RequestRecord> sink;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private int status;
  private int pieceCount;
  private @Nullable Duration firstPart;
  private @Nullable Duration lastPiece;

  ResponseRecorder(
      PlannedRequest request, Duration dueAt, MonotonicClock clock, Consumer<RequestRecord> sink) {
    this.request = request;
    this.dueAt = dueAt;
    this.clock = clock;
    this.sink = sink;
  }

  private Duration elapsedSinceDue() {
    return clock.elapsed().minus(dueAt);
  }

  @Override
  public void onStart(int newStatus, @Nullable String contentType) {
    status = newStatus;
  }

  @Override
  public void onData(byte[] data) {
    Duration now = elapsedSinceDue();
    if (firstPart == null) {
      firstPart = now;
    }
    lastPiece = now;
    pieceCount++;
    body.writeBytes(data);
  }

  @Override
  public void onComplete() {
    String text = body.toString(StandardCharsets.UTF_8);
    if (status != OK) {
      record(outcomeOf(text), false, field(text, "code"));
    } else if (request.requestClass().stream()) {
      recordStream(text);
    } else {
      record(Outcome.COMPLETED, isExpectedResponse(text), null);
    }
  }

  private void recordStream(String text) {
    StringBuilder content = new StringBuilder();
    Outcome outcome = Outcome.UNKNOWN;
    boolean outcomeFollows = false;
    for (String line : text.split("\n")) {
      if (line.equals(OUTCOME_EVENT)) {
        outcomeFollows = true;
      } else if (line.startsWith(DATA) && outcomeFollows) {
        outcome = outcomeOf(line.substring(DATA.length()));
      } else if (line.startsWith(DATA + "{")) {
        JsonNode event = Json.parse(line.substring(DATA.length()));
        content.append(event.at("/choices/0/delta/content").asText());
      }
    }
    String expected = EngineResponses.text(request.prompt(), request.outputTokens());
    record(outcome, expected.contentEquals(content), null);
  }

  private boolean isExpectedResponse(String text) {
    JsonNode response = Json.parse(text);
    if (!request.requestClass().model()) {
      return response.path("echo").asText().equals(request.prompt());
    }
    String expected = EngineResponses.text(request.prompt(), request.outputTokens());
    return response.at("/choices/0/message/content").asText().equals(expected);
  }

  private static Outcome outcomeOf(String json) {
    String text = field(json, "outcome");
    for (Outcome outcome : Outcome.values()) {
      if (outcome.text().equals(text)) {
        return outcome;
      }
    }
    return Outcome.UNKNOWN;
  }

  private static @Nullable String field(String json, String name) {
    try {
      return Json.parse(json).path(name).asText(null);
    } catch (WigeonstageException e) {
      return null;
    }
  }

  @Override
  public void onConnectFailure(Throwable cause) {
    record(Outcome.NOT_RUN, false, "not-connected");
  }

  @Override
  public void onFailure(Throwable cause) {
    record(Outcome.UNKNOWN, false, "connection-lost");
  }

  private void record(Outcome outcome, boolean correct, @Nullable String code) {
    sink.accept(
        new RequestRecord(
            request, outcome, firstPart, elapsedSinceDue(), meanGap(), correct, code));
  }

  private @Nullable Duration meanGap() {
    Duration first = firstPart;
    Duration last = lastPiece;
    if (first == null || last == null || pieceCount < 2) {
      return null;
    }
    return last.minus(first).dividedBy(pieceCount - 1L);
  }
}
