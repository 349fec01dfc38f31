package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wigeonstage.gateway.GatewayFixture.statusOf;
import static org.wigeonstage.gateway.ScriptedServer.PAUSE;
import static org.wigeonstage.gateway.StreamText.chunk;
import static org.wigeonstage.gateway.StreamText.head;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.io.Closer;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonstage.gateway.ScriptedServer.Ending;

/**
 * Guards against sound streams that are cut because of how their bytes arrive, or because of what
 * their connection was used for before.
 */
class SoundStreamIT {

  private static final long FIRST_SEED = Long.getLong("sound.firstSeed", 1);
  private static final int SEEDS = Integer.getInteger("sound.seeds", 60);
  private static final int CALLERS = 4;
  private static final Duration DEADLINE = Duration.ofSeconds(15);
  private static final String STREAM_TYPE = "Content-Type: text/event-stream\r\n";

  private static final List<String> EVENTS =
      List.of(
          "id: 3\r\nevent: token\r\ndata: a b\r\n\r\n",
          "weight-versions: 12\nid: 4\ndata: {\"text\": \"c\"}\ndata:\n\n",
          "id: 900000000000\ndata: \u00c3\u00a9\n\n",
          "data: d\nid:900000000001\n\n");

  private final Closer closer = Closer.create();
  private final Map<String, String> responses = new ConcurrentHashMap<>();
  private final ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
  private ScriptedServer server;
  private GatewayFixture fixture;

  /** How a server shows where the body of its response ends. */
  private enum Framing {
    LENGTH,
    CHUNKS,
    CHUNKS_WITH_EXTENSIONS,
    LARGE_CHUNK,
    END_OF_CONNECTION;

    String response(String id, String fields) {
      String body = String.join("", EVENTS);
      return switch (this) {
        case LENGTH ->
            head(id, "200 OK", STREAM_TYPE + fields + "Content-Length: " + body.length() + "\r\n")
                + body;
        case CHUNKS -> chunkedHead(id, fields) + chunks("") + "0\r\nX-End: a\r\n\r\n";
        case CHUNKS_WITH_EXTENSIONS ->
            chunkedHead(id, fields) + chunks(";a=b") + StreamText.LAST_CHUNK;
        case LARGE_CHUNK -> chunkedHead(id, fields) + chunk(body) + StreamText.LAST_CHUNK;
        case END_OF_CONNECTION ->
            head(id, "200 OK", STREAM_TYPE + fields + "Connection: close\r\n") + body;
      };
    }

    private static String chunkedHead(String id, String fields) {
      return head(id, "200 OK", STREAM_TYPE + fields + "Transfer-Encoding: chunked\r\n");
    }

    private static String chunks(String extension) {
      StringBuilder chunks = new StringBuilder();
      for (String event : EVENTS) {
        chunks.append(chunk(event).replaceFirst("\r\n", extension + "\r\n"));
      }
      return chunks.toString();
    }

    Ending ending() {
      return this == END_OF_CONNECTION ? Ending.CLOSED : Ending.KEPT;
    }
  }

  @AfterEach
  void stop() throws IOException {
    callers.shutdownNow();
    closer.close();
  }

  /** Starts a server with prepared responses, and a gateway whose streams can't be resumed. */
  private void start(Ending ending) throws Exception {
    ObjectNode configuration = GatewayFixture.singleAttemptConfiguration(DEADLINE);
    server =
        closer.register(
            ScriptedServer.afterWarmUp(
                (id, position) -> responses.getOrDefault(id, ScriptedServer.success(id)), ending));
    fixture = closer.register(GatewayFixture.with(server, configuration));
  }

  private static String withPauses(String response, Iterable<Integer> positions) {
    StringBuilder text = new StringBuilder();
    int start = 0;
    for (int position : positions) {
      text.append(response, start, position).append(PAUSE);
      start = position;
    }
    return text.append(response, start, response.length()).toString();
  }

  /** Requests streams, several at once, and checks that each is passed on whole. */
  private void assertAllArePassedOn(Iterable<String> ids) throws Exception {
    List<Callable<Void>> calls = new ArrayList<>();
    ids.forEach(
        id ->
            calls.add(
                () -> {
                  assertIsPassedOn(id);
                  return null;
                }));
    for (Future<Void> call : callers.invokeAll(calls)) {
      call.get();
    }
  }

  private void assertIsPassedOn(String id) throws IOException {
    String response = fixture.request("stream", id, DEADLINE);
    String sent = responses.get(id).replace(PAUSE, "|");
    assertThat(statusOf(response)).as("response to %s", sent).isEqualTo(200);
    assertThat(eventsOf(response))
        .as("response to %s: %s", sent, response)
        .isEqualTo(String.join("", EVENTS));
    assertThat(response).as("response to %s", sent).endsWith(StreamText.LAST_CHUNK);
    assertThat(server.receivedCount(id)).isEqualTo(1);
  }

  /** Decodes the chunks of a response. */
  private static String eventsOf(String response) {
    StringBuilder body = new StringBuilder();
    int position = response.indexOf("\r\n\r\n") + 4;
    while (position < response.length()) {
      int lineEnd = response.indexOf("\r\n", position);
      int length = Integer.parseInt(response.substring(position, lineEnd), 16);
      body.append(response, lineEnd + 2, lineEnd + 2 + length);
      position = lineEnd + 2 + length + 2;
    }
    return body.toString();
  }

  @ParameterizedTest
  @EnumSource(names = "CHUNKS_WITH_EXTENSIONS", mode = EnumSource.Mode.EXCLUDE)
  void passesWholeWhenSplitBeforeAnyByte(Framing framing) throws Exception {
    start(framing.ending());
    int length = framing.response("split-000", "").length();
    List<String> ids =
        IntStream.range(1, length).mapToObj(split -> "split-%03d".formatted(split)).toList();
    for (int i = 0; i < ids.size(); i++) {
      String response = framing.response(ids.get(i), "");
      responses.put(ids.get(i), withPauses(response, List.of(i + 1)));
    }
    assertAllArePassedOn(ids);
  }

  @Test
  @Tag("known-red")
  void passesWholeWithChunkExtensionsWhenSplitBeforeAnyByte() throws Exception {
    passesWholeWhenSplitBeforeAnyByte(Framing.CHUNKS_WITH_EXTENSIONS);
  }

  @ParameterizedTest
  @EnumSource(names = "CHUNKS_WITH_EXTENSIONS", mode = EnumSource.Mode.EXCLUDE)
  void passesWholeWhenSplitAtRandom(Framing framing) throws Exception {
    start(framing.ending());
    List<String> ids = new ArrayList<>();
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      String id = "seed-" + seed;
      String response = framing.response(id, "");
      int splits = random.nextInt(2, 40);
      List<Integer> positions =
          random.ints(splits, 1, response.length()).distinct().sorted().boxed().toList();
      responses.put(id, withPauses(response, positions));
      ids.add(id);
    }
    assertAllArePassedOn(ids);
  }

  @Test
  void passesWholeByteByByte() throws Exception {
    start(Ending.KEPT);
    String response = Framing.CHUNKS.response("bytes", "");
    responses.put(
        "bytes", withPauses(response, IntStream.range(1, response.length()).boxed().toList()));
    assertIsPassedOn("bytes");
  }

  /** The connections of the server have carried responses with these fields before. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "Connection: close\r\n",
        "Connection: keep-alive\r\nKeep-Alive: timeout=1\r\n",
        "Keep-Alive: timeout=5, max=3\r\n",
        "Keep-Alive: timeout=0\r\n",
        "Server-Leaving: 0\r\n",
        "Server-Leaving: 500\r\n",
      })
  void passesWholeBehindOtherResponses(String fields) throws Exception {
    start(Ending.KEPT);
    for (int round = 0; round < 30; round++) {
      String id = "stream-" + round;
      Framing framing = round % 2 == 0 ? Framing.CHUNKS : Framing.LENGTH;
      String response = framing.response(id, fields);
      int middle = response.length() - 50;
      responses.put(id, withPauses(response, List.of(middle, middle + 20)));
      if (!fields.contains("500")) {
        fixture.request("plain", "plain-" + round);
      }
      assertIsPassedOn(id);
      if (fields.contains("500")) {
        return; // A leaving server gets no other request.
      }
    }
  }

  /**
   * A stream on a connection on which its server has sent more than was asked for may fail, but
   * what has begun is not cut, and the next stream is passed on whole.
   */
  @ParameterizedTest
  @ValueSource(strings = {"", PAUSE, PAUSE + PAUSE + PAUSE})
  void isNotCutOnceBegunBehindAnExtraResponse(String delay) throws Exception {
    start(Ending.KEPT);
    for (int round = 0; round < 40; round++) {
      String plain = "plain-" + round;
      String stream = "stream-" + round;
      String extra =
          ScriptedServer.response("200 OK", "Attempt-Id: x\r\nResponse-Signature: s\r\n");
      responses.put(plain, ScriptedServer.success(plain) + delay + extra);
      String response = Framing.CHUNKS.response(stream, "");
      responses.put(stream, withPauses(response, List.of(response.length() - 30)));
      fixture.request("plain", plain);
      String received = fixture.request("stream", stream, DEADLINE);
      if (statusOf(received) == 200) {
        assertThat(received).endsWith(StreamText.LAST_CHUNK);
        assertThat(eventsOf(received)).isEqualTo(String.join("", EVENTS));
      }
      String next = "next-" + round;
      responses.put(next, Framing.CHUNKS.response(next, ""));
      assertIsPassedOn(next);
    }
  }
}
