package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wigeonstage.gateway.GatewayFixture.statusOf;
import static org.wigeonstage.gateway.ScriptedServer.PAUSE;
import static org.wigeonstage.gateway.StreamText.LAST_CHUNK;
import static org.wigeonstage.http.MalformedResponses.printable;

import com.google.common.io.Closer;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;
import org.assertj.core.api.SoftAssertions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.wigeonstage.common.Polling;
import org.wigeonstage.gateway.ScriptedServer.Ending;
import org.wigeonstage.http.MalformedResponses;

/** Guards against responses that callers get as sound ones although they violate HTTP. */
class MalformedResponseIT {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final int EVENTS = 4;

  /** More than the number of crashes after which a prompt is held. */
  private static final int SERVERS = 5;

  private static final int MAX_REQUESTS = 200;
  private static final String MALFORMED_ID = "malformed-";

  /** The fields of a usable response; {@link #prepare} replaces the ID. */
  private static final String FIELDS = "Attempt-Id: ID\r\nResponse-Signature: s\r\n";

  private static final String SIGNATURE = "response-signature";

  private final Closer closer = Closer.create();
  private final DecisionLogCapture decisions = closer.register(new DecisionLogCapture());
  private final Map<String, String> responses = new ConcurrentHashMap<>();
  private final Map<String, Integer> positions = new ConcurrentHashMap<>();
  private ScriptedServer server;
  private GatewayFixture fixture;

  @AfterEach
  void stop() throws IOException {
    closer.close();
  }

  /** Starts a server that sends prepared responses once, and sound ones to other requests. */
  private void start(Ending ending, ScriptedServer.Script soundResponses) throws Exception {
    server =
        closer.register(
            ScriptedServer.afterWarmUp(
                (id, position) -> {
                  positions.put(id, position);
                  String prepared = responses.remove(id);
                  return prepared == null ? soundResponses.respond(id, position) : prepared;
                },
                ending));
    fixture = closer.register(GatewayFixture.with(server));
  }

  private static String soundResponse(String id, int position) {
    return StreamText.head(id, "200 OK", "Content-Length: 4\r\n") + MalformedResponses.BODY;
  }

  private String soundStream(String id, int position) {
    int next = 1 + server.lastEventId(id).orElse(0);
    return StreamText.chunkedHead(id) + StreamText.chunkedEvents(next, EVENTS) + LAST_CHUNK;
  }

  private String prepare(String id, String response) {
    responses.put(id, response.replace("ID", id));
    return id;
  }

  @ParameterizedTest
  @EnumSource(names = {"KEPT", "CLOSED"})
  void malformedResponseIsAFailedAttempt(Ending ending) throws Exception {
    start(ending, MalformedResponseIT::soundResponse);
    List<String> malformed = MalformedResponses.all(FIELDS);
    SoftAssertions softly = new SoftAssertions();
    for (int i = 0; i < malformed.size(); i++) {
      String id = prepare("r" + i, malformed.get(i));
      String response = fixture.request("plain", id);
      String description = printable(malformed.get(i)) + " gave " + printable(response);
      softly.assertThat(statusOf(response)).as(description).isEqualTo(502);
      softly.assertThat(response).as(description).doesNotContainIgnoringCase(SIGNATURE);
      softly.assertThat(server.receivedCount(id)).as(description).isEqualTo(1);
    }
    softly.assertAll();
  }

  @Test
  void connectionIsNotUsedAgain() throws Exception {
    start(Ending.KEPT, MalformedResponseIT::soundResponse);
    for (String malformed : MalformedResponses.all(FIELDS)) {
      fixture.request("plain", prepare("r", malformed));
      assertThat(statusOf(fixture.request("plain", "next"))).isEqualTo(200);
      assertThat(positions.get("next")).as(printable(malformed)).isZero();
    }
  }

  /** What follows has arrived with the response, and belongs to no request. */
  @ParameterizedTest
  @CsvSource({
    "200 OK, 4, 'done\r\n'",
    "200 OK, 4, 'doneHTTP/1.1 299 OK\r\nX-Junk: '",
    "200 OK, 4, 'doneHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore'",
    "204 No Content, 4, done",
    "205 Reset Content, 4, done",
    "304 Not Modified, 4, done",
    "304 Not Modified, 4, ''"
  })
  void octetsBehindAResponseDoNotReachTheNextRequest(String status, int length, String octets)
      throws Exception {
    start(Ending.KEPT, MalformedResponseIT::soundResponse);
    String head = StreamText.head("r", status, "Content-Length: " + length + "\r\n");
    String response = fixture.request("plain", prepare("r", head + octets));
    assertThat(response).startsWith("HTTP/1.1 " + status.substring(0, 3)).doesNotContain("more");
    String next = fixture.request("plain", "next");
    assertThat(next).startsWith("HTTP/1.1 200").endsWith("\r\n\r\n" + MalformedResponses.BODY);
  }

  @Test
  void responseToAHeadRequestIsPassedOnAlthoughABodyFollows() throws Exception {
    start(Ending.KEPT, MalformedResponseIT::soundResponse);
    String request =
        "HEAD /status/x HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\nAttempt-Id: %s\r\n"
            + "Credential: key\r\n\r\n";
    assertThat(statusOf(fixture.sendRaw(request.formatted("head")))).isEqualTo(200);
    assertThat(statusOf(fixture.request("plain", "next"))).isEqualTo(200);
  }

  @Test
  void idempotentRequestIsRetried() throws Exception {
    start(Ending.KEPT, MalformedResponseIT::soundResponse);
    String malformed = MalformedResponses.all(FIELDS).get(0);
    String response = fixture.request("status", prepare("r", malformed));
    assertThat(statusOf(response)).isEqualTo(200);
    assertThat(response).endsWith("\r\n\r\n" + MalformedResponses.BODY);
    assertThat(server.receivedCount("r")).isEqualTo(2);
  }

  /** The responses replace a stream of four events. */
  static Stream<String> malformedStreams() {
    String head = StreamText.chunkedHead("r");
    String events = StreamText.chunkedEvents(1, 2);
    return Stream.of(
        head.replace("Content-Type", "X Field: a\r\nContent-Type") + events + LAST_CHUNK,
        head.replace("Content-Type", "nonsense\r\nContent-Type") + events + LAST_CHUNK,
        head.replace("chunked", "chunkd") + events + LAST_CHUNK,
        head.replace("Encoding:", "Encoding :") + events + LAST_CHUNK,
        head + events + "0\r\nnonsense\r\n\r\n",
        head + events + "0\r\n: comment\n\n\r\n" + LAST_CHUNK,
        head + events + "0\r\n" + StreamText.event(3) + "\r\n" + StreamText.chunkedEvents(4, 4),
        head + PAUSE + events + PAUSE + "0\r\nX Trailer: a\r\n\r\n");
  }

  @ParameterizedTest
  @MethodSource("malformedStreams")
  void malformedStreamIsResumed(String malformed) throws Exception {
    start(Ending.KEPT, this::soundStream);
    String response = fixture.request("stream", prepare("r", malformed));
    assertThat(statusOf(response)).isEqualTo(200);
    assertThat(StreamText.bodyOf(response)).isEqualTo(StreamText.events(1, EVENTS) + LAST_CHUNK);
  }

  @Test
  void reasonIsLogged() throws Exception {
    start(Ending.KEPT, MalformedResponseIT::soundResponse);
    String malformed = soundResponse("r", 0).replace("Content-Length", "Content Length");
    fixture.request("plain", prepare("r", malformed));
    Polling.await(() -> !decisions.linesOf("connection-lost").isEmpty(), TIMEOUT);
    assertThat(decisions.linesOf("connection-lost").get(0))
        .contains("a field name is malformed")
        .contains("\"closedBy\":\"gateway\"")
        .contains("\"closeReason\":\"malformed\"");
  }

  /** A server that has sent something did not crash while it read the prompt. */
  @Test
  void promptIsNotHeldAfterMalformedResponses() throws Exception {
    Set<Integer> used = ConcurrentHashMap.newKeySet();
    fixture = closer.register(GatewayFixture.with(partlyMalformedServer(0, used)));
    for (int number = 1; number < SERVERS; number++) {
      fixture.store.write(
          "servers", "scripted-" + number, partlyMalformedServer(number, used).registration());
    }
    String prompt = "Prompt-Prefix: shared:60,own:5";
    for (int i = 0; i < MAX_REQUESTS && used.size() < SERVERS; i++) {
      assertThat(statusOf(fixture.request("plain", MALFORMED_ID + i, prompt))).isEqualTo(502);
    }
    assertThat(used).hasSize(SERVERS);
    assertThat(statusOf(fixture.request("plain", "next", prompt))).isEqualTo(200);
  }

  /** Returns a server that records its number when it sends a malformed response. */
  private ScriptedServer partlyMalformedServer(int number, Set<Integer> used) throws IOException {
    return closer.register(
        ScriptedServer.afterWarmUp(
            (id, position) -> {
              String sound = soundResponse(id, position);
              if (!id.startsWith(MALFORMED_ID)) {
                return sound;
              }
              used.add(number);
              return sound.replace("Content-Length", "Content Length");
            },
            Ending.KEPT));
  }

  @Test
  void soundResponseIsPassedOn() throws Exception {
    start(Ending.KEPT, MalformedResponseIT::soundResponse);
    List<String> sound = MalformedResponses.sound(FIELDS);
    for (int i = 0; i < sound.size(); i++) {
      if (sound.get(i).contains("Connection: close")) {
        continue; // Ends with its connection: see UnframedResponseIT.
      }
      String response = fixture.request("plain", prepare("r" + i, sound.get(i)));
      assertThat(statusOf(response)).as(printable(sound.get(i))).isEqualTo(200);
      assertThat(response)
          .as(printable(sound.get(i)))
          .endsWith("\r\n\r\n" + MalformedResponses.BODY)
          .containsIgnoringCase(SIGNATURE);
    }
  }
}
