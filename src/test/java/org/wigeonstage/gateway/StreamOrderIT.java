package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wigeonstage.gateway.GatewayFixture.statusOf;
import static org.wigeonstage.gateway.StreamText.LAST_CHUNK;
import static org.wigeonstage.gateway.StreamText.bodyOf;
import static org.wigeonstage.gateway.StreamText.chunk;
import static org.wigeonstage.gateway.StreamText.chunkedEvents;
import static org.wigeonstage.gateway.StreamText.chunkedHead;
import static org.wigeonstage.gateway.StreamText.event;
import static org.wigeonstage.gateway.StreamText.events;

import com.google.common.io.Closer;
import java.io.IOException;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonstage.common.Polling;
import org.wigeonstage.gateway.ScriptedServer.Ending;

/** Guards against streams with events that no run made, from a server that sends garbage. */
class StreamOrderIT {

  private static final int EVENTS = 6;
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final String GARBAGE = "garbage-0123456789-0123456789-0123456789";

  private final Closer closer = Closer.create();
  private final DecisionLogCapture decisions = closer.register(new DecisionLogCapture());
  private ScriptedServer server;
  private GatewayFixture fixture;

  @AfterEach
  void stop() throws IOException {
    closer.close();
  }

  /** Starts a server whose first response has the given chunks, and whose later ones are sound. */
  private void start(String chunks, Ending ending) throws Exception {
    server =
        closer.register(
            ScriptedServer.afterWarmUp(
                (id, position) ->
                    server.receivedCount(id) == 1 ? chunkedHead(id) + chunks : rest(id),
                ending));
    fixture = closer.register(GatewayFixture.with(server));
  }

  private String rest(String id) {
    int next = 1 + server.lastEventId(id).orElse(0);
    return chunkedHead(id) + chunkedEvents(next, EVENTS) + LAST_CHUNK;
  }

  static String[] invalidEvents() {
    return new String[] {
      GARBAGE + "\n\n",
      GARBAGE + event(3),
      GARBAGE + "\n" + event(3),
      event(3).stripTrailing() + "\n" + GARBAGE + "\n\n",
      "data: x\n\n",
      "id:\ndata: x\n\n",
      "id: x\ndata: x\n\n",
      "id: -3\ndata: x\n\n",
      "id: 3\nid: 4\ndata: x\n\n",
      "id: 3\ndata: x\u0000\n\n",
      event(2),
      event(1),
      "HTTP/1.1 200 OK\r\nAttempt-Id: x\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 200 OK\r\nid: 3\r\n\r\n",
      "weight-versions: x\n" + event(3),
      event(3).replace("data", "weight-versions: 7\ndata"),
      "\u00ff\u0001\u0002\n\n"
    };
  }

  /** The log of a request is written after its response. */
  private void awaitInvalidEvent() throws InterruptedException {
    assertThat(Polling.await(() -> !decisions.linesOf("invalid-event").isEmpty(), TIMEOUT))
        .isTrue();
  }

  private void assertStreamIsResumed(int events, String invalid, Ending ending) throws Exception {
    start(chunkedEvents(1, events) + chunk(invalid), ending);
    String response = fixture.request("stream", "r");
    assertThat(statusOf(response)).isEqualTo(200);
    assertThat(bodyOf(response)).isEqualTo(events(1, EVENTS) + LAST_CHUNK);
    assertThat(server.lastEventId("r").orElse(0)).isEqualTo(events);
    awaitInvalidEvent();
    assertThat(decisions.linesOf("invalid-event"))
        .hasSize(1)
        .allMatch(line -> line.contains("\"request\":\"r\"") && line.contains("\"scripted\""));
  }

  @ParameterizedTest
  @MethodSource("invalidEvents")
  void eventThatNoRunMadeIsNotPassedOn(String invalid) throws Exception {
    assertStreamIsResumed(2, invalid, Ending.KEPT);
  }

  @ParameterizedTest
  @MethodSource("invalidEvents")
  void eventThatNoRunMadeIsNotPassedOnIfItsConnectionIsReset(String invalid) throws Exception {
    assertStreamIsResumed(2, invalid, Ending.RESET);
  }

  @ParameterizedTest
  @ValueSource(strings = {GARBAGE + "\n\n", "data: x\n\n", "id: \ndata: x\n\n"})
  void streamThatBeginsWithAnEventThatNoRunMadeStartsAnew(String invalid) throws Exception {
    assertStreamIsResumed(0, invalid, Ending.KEPT);
  }

  @Test
  void resumedStreamThatBeginsWithAnEventBeforeItsStartIsResumedOnce() throws Exception {
    start(chunkedEvents(1, 3) + LAST_CHUNK, Ending.KEPT);
    String response = fixture.request("stream", "r", "Last-Event-Id: 2");
    assertThat(bodyOf(response)).doesNotContain("id: 1\n").contains("id: 3\n", "id: 6\n");
    awaitInvalidEvent();
    assertThat(decisions.linesOf("invalid-event")).hasSize(1);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "weight-versions: 7\nid: 3\ndata: x\n\n",
        "event: token\nid: 3\ndata: x\ndata: y\n\n",
        "id: 3\r\ndata: x\r\n\r\n",
        "id:3\ndata:x\n\n",
        "id: 3\n: comment\ndata: \u00e9 {\"a\": [1]}\n\n",
        "id: 7\ndata: x\n\n"
      })
  void soundEventsArePassedOnUnchanged(String sound) throws Exception {
    start(chunkedEvents(1, 2) + chunk(sound) + LAST_CHUNK, Ending.KEPT);
    String response = fixture.request("stream", "r");
    assertThat(bodyOf(response).replace("\r\n0\r\n\r\n", "0\r\n\r\n"))
        .contains(event(1) + event(2))
        .contains(sound)
        .endsWith(LAST_CHUNK);
    assertThat(server.receivedCount("r")).isEqualTo(1);
  }
}
