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
import static org.wigeonstage.gateway.StreamText.head;

import com.google.common.io.Closer;
import java.io.IOException;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonstage.gateway.ScriptedServer.Ending;

/** Guards against streams that are not checked because a faulty server declares something else. */
class MislabelledStreamIT {

  private static final int EVENTS = 4;
  private static final String GARBAGE = "garbage-0123456789";

  private final Closer closer = Closer.create();
  private ScriptedServer server;
  private GatewayFixture fixture;

  /** How a server shows where the body of a response ends. */
  private enum Framing {
    LENGTH,
    CHUNKS,
    END_OF_CONNECTION;

    String response(String id, String status, String fields, String body) {
      return switch (this) {
        case LENGTH ->
            head(id, status, fields + "Content-Length: " + body.length() + "\r\n") + body;
        case CHUNKS ->
            head(id, status, fields + "Transfer-Encoding: chunked\r\n") + chunk(body) + LAST_CHUNK;
        case END_OF_CONNECTION -> head(id, status, fields + "Connection: close\r\n") + body;
      };
    }

    Ending ending() {
      return this == END_OF_CONNECTION ? Ending.CLOSED : Ending.KEPT;
    }
  }

  @AfterEach
  void stop() throws IOException {
    closer.close();
  }

  /** Starts a server whose first response is given, and whose later ones are sound streams. */
  private void start(ScriptedServer.Script first, Ending ending) throws Exception {
    server =
        closer.register(
            ScriptedServer.afterWarmUp(
                (id, position) ->
                    server.receivedCount(id) == 1 ? first.respond(id, position) : rest(id),
                ending));
    fixture = closer.register(GatewayFixture.with(server));
  }

  private String rest(String id) {
    int next = 1 + server.lastEventId(id).orElse(0);
    return chunkedHead(id) + chunkedEvents(next, EVENTS) + LAST_CHUNK;
  }

  static Stream<Arguments> mislabelledResponses() {
    List<String> fields =
        List.of(
            "",
            "Content-Type: text/plain\r\n",
            "Content-Type: application/json\r\n",
            "Content-Type: Text/Event-Stream\r\n",
            "Content-Type: x\r\nContent-Type: text/event-stream\r\n");
    List<String> statuses = List.of("200 OK", "201 Created", "206 Partial Content");
    return Stream.of(Framing.values())
        .flatMap(
            framing ->
                fields.stream()
                    .flatMap(
                        field ->
                            statuses.stream().map(status -> Arguments.of(framing, status, field))));
  }

  @ParameterizedTest
  @MethodSource("mislabelledResponses")
  void garbageBehindEventsIsNotPassedOn(Framing framing, String status, String fields)
      throws Exception {
    start(
        (id, position) -> framing.response(id, status, fields, event(1) + GARBAGE + "\n\n"),
        framing.ending());
    String response = fixture.request("stream", "r");
    assertThat(bodyOf(response)).isEqualTo(events(1, EVENTS) + LAST_CHUNK);
    assertThat(server.lastEventId("r")).contains(1);
  }

  @ParameterizedTest
  @MethodSource("mislabelledResponses")
  void garbageInPlaceOfEventsIsNotPassedOn(Framing framing, String status, String fields)
      throws Exception {
    start((id, position) -> framing.response(id, status, fields, GARBAGE), framing.ending());
    String response = fixture.request("stream", "r");
    assertThat(bodyOf(response)).isEqualTo(events(1, EVENTS) + LAST_CHUNK);
    assertThat(server.receivedCount("r")).isEqualTo(2);
  }

  @ParameterizedTest
  @MethodSource("mislabelledResponses")
  void soundEventsArePassedOn(Framing framing, String status, String fields) throws Exception {
    start(
        (id, position) -> framing.response(id, status, fields, events(1, EVENTS)),
        framing.ending());
    String response = fixture.request("stream", "r");
    assertThat(response).startsWith("HTTP/1.1 " + status.substring(0, 3));
    assertThat(bodyOf(response)).contains(events(1, EVENTS));
    assertThat(server.receivedCount("r")).isEqualTo(1);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "\n\n",
        "\r\n\r\n",
        ": comment\n\n",
        ": garbage\n\n: garbage\n\n",
        "retry: 5\n\n"
      })
  void streamWithoutAnEventIsNotComplete(String body) throws Exception {
    start(
        (id, position) -> chunkedHead(id) + (body.isEmpty() ? "" : chunk(body)) + LAST_CHUNK,
        Ending.KEPT);
    assertThat(bodyOf(fixture.request("stream", "r"))).isEqualTo(events(1, EVENTS) + LAST_CHUNK);
    assertThat(server.receivedCount("r")).isEqualTo(2);
  }

  @ParameterizedTest
  @ValueSource(strings = {"200 OK", "204 No Content"})
  void streamWithoutABodyIsNotComplete(String status) throws Exception {
    start(
        (id, position) -> head(id, status, status.startsWith("200") ? "Content-Length: 0\r\n" : ""),
        Ending.KEPT);
    assertThat(bodyOf(fixture.request("stream", "r"))).isEqualTo(events(1, EVENTS) + LAST_CHUNK);
    assertThat(server.receivedCount("r")).isEqualTo(2);
  }

  @Test
  void streamThatIsResumedBehindItsLastEventIsComplete() throws Exception {
    start((id, position) -> chunkedHead(id) + LAST_CHUNK, Ending.KEPT);
    String response = fixture.request("stream", "r", "Last-Event-Id: " + EVENTS);
    assertThat(statusOf(response)).isEqualTo(200);
    assertThat(response).endsWith("\r\n\r\n" + LAST_CHUNK);
    assertThat(server.receivedCount("r")).isEqualTo(1);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        ": garbage\n\n",
        ":\n\n",
        "\n",
        "\n\n\n",
        "\r\n\r\n",
        "retry: 5\n\n",
        "retry: garbage\n\n",
        ": a\nretry: 5\n: b\n\n"
      })
  void whatCarriesNoEventIsNotPassedOn(String block) throws Exception {
    start(
        (id, position) ->
            chunkedHead(id)
                + chunk(block)
                + chunkedEvents(1, 2)
                + chunk(block)
                + chunkedEvents(3, EVENTS)
                + chunk(block)
                + LAST_CHUNK,
        Ending.KEPT);
    assertThat(bodyOf(fixture.request("stream", "r"))).isEqualTo(events(1, EVENTS) + LAST_CHUNK);
    assertThat(server.receivedCount("r")).isEqualTo(1);
  }

  @Test
  void resumedStreamThatEndsWithItsConnectionAndHasNoEventIsNotComplete() throws Exception {
    start(
        (id, position) -> Framing.END_OF_CONNECTION.response(id, "200 OK", "", ""), Ending.CLOSED);
    String response = fixture.request("stream", "r", "Last-Event-Id: 2");
    assertThat(bodyOf(response)).isEqualTo(events(3, EVENTS) + LAST_CHUNK);
  }

  @ParameterizedTest
  @ValueSource(strings = {"id:  3", "id: 3 ", "id:\t3", "id: 03", "id: +3", "ID: 3", "id : 3"})
  void idThatCallersMayReadOtherwiseIsNotPassedOn(String id) throws Exception {
    start(
        (request, position) ->
            chunkedHead(request) + chunkedEvents(1, 2) + chunk(id + "\ndata: x\n\n") + LAST_CHUNK,
        Ending.KEPT);
    assertThat(bodyOf(fixture.request("stream", "r"))).isEqualTo(events(1, EVENTS) + LAST_CHUNK);
  }
}
