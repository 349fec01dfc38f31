package org.wigeonstage.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wigeonstage.http.MalformedResponses.printable;

import com.google.common.io.Closer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.assertj.core.api.SoftAssertions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wigeonstage.request.HttpCall;

/**
 * Tests what an {@link HttpClient}, through which the platform's store is called, makes of
 * malformed responses.
 */
class MalformedResponseTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final HttpCall GET = new HttpCall("GET", "/", null, new byte[0]);
  private static final int SEEDS = Integer.getInteger("malformed.seeds", 2000);

  private static final String TOKEN = "[!#$%&'*+.^_`|~0-9A-Za-z-]+";
  private static final String TEXT = "[\\t\\x20-\\x7e\\x80-\\xff]*";
  private static final Pattern RESPONSE =
      Pattern.compile(
          "HTTP/1\\.[01] ([0-9]{3})(?: %s)?\r?\n((?:%s:%s\r?\n)*)\r?\n(.*)"
              .formatted(TEXT, TOKEN, TEXT),
          Pattern.DOTALL);
  private static final Pattern FRAMING =
      Pattern.compile(
          "^(content-length|transfer-encoding):[\\t ]*(.*?)[\\t ]*\r?$",
          Pattern.MULTILINE | Pattern.CASE_INSENSITIVE);
  private static final Pattern CHUNKS =
      Pattern.compile(
          "4[\\t ]*(?:;%s)?\r?\n(.{4})\r?\n0+[\\t ]*(?:;%s)?\r?\n(?:%s:%s\r?\n)*\r?\n.*"
              .formatted(TEXT, TEXT, TOKEN, TEXT),
          Pattern.DOTALL);

  private final Closer closer = Closer.create();
  private ServerSocket server;
  private HttpClient client;

  @BeforeEach
  void start() throws IOException {
    server = closer.register(new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1")));
    client = closer.register(HttpClient.start("test-client", 1));
  }

  @AfterEach
  void stop() throws IOException {
    closer.close();
  }

  /** Returns the response to a call that the server answers with octets and a close. */
  private Optional<HttpResponse> call(String octets) throws IOException {
    Endpoint target = new Endpoint("127.0.0.1", server.getLocalPort());
    BlockingCall.Pending call = BlockingCall.start(client, target, GET, Map.of());
    try (Socket socket = server.accept()) {
      assertThat(socket.getInputStream().read(new byte[1024])).isPositive();
      socket.getOutputStream().write(octets.getBytes(StandardCharsets.ISO_8859_1));
      socket.close();
      return Optional.of(call.await(TIMEOUT));
    } catch (CallFailedException e) {
      return Optional.empty();
    }
  }

  private static String text(HttpResponse response) {
    return new String(response.body(), StandardCharsets.ISO_8859_1);
  }

  @Test
  void malformedResponseFailsTheCall() throws IOException {
    SoftAssertions softly = new SoftAssertions();
    for (String response : MalformedResponses.all("Date: a\r\n")) {
      softly.assertThat(call(response)).as(printable(response)).isEmpty();
    }
    softly.assertAll();
  }

  @Test
  void soundResponseIsReturned() throws IOException {
    for (String response : MalformedResponses.sound("Date: a\r\n")) {
      assertThat(call(response).map(MalformedResponseTest::text))
          .as(printable(response))
          .contains(MalformedResponses.BODY);
    }
  }

  /** Replaces, inserts or removes one octet. */
  private static String mutate(String response, SplittableRandom random) {
    int position = random.nextInt(response.length());
    String octet = String.valueOf((char) random.nextInt(256));
    String start = response.substring(0, position);
    return switch (random.nextInt(3)) {
      case 0 -> start + octet + response.substring(position);
      case 1 -> start + octet + response.substring(position + 1);
      default -> start + response.substring(position + 1);
    };
  }

  /** Returns the body of a response that ends with its connection, or empty if it is malformed. */
  private static Optional<String> bodyOf(String response) {
    Matcher matcher = RESPONSE.matcher(response);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    String rest = matcher.group(3);
    Matcher framing = FRAMING.matcher(matcher.group(2));
    if (!framing.find()) {
      return Optional.of(rest);
    }
    String value = framing.group(2);
    boolean isLength = framing.group(1).equalsIgnoreCase("content-length");
    if (framing.find()) {
      return Optional.empty();
    }
    if (isLength) {
      return value.matches("[0-9]{1,9}") && Integer.parseInt(value) <= rest.length()
          ? Optional.of(rest.substring(0, Integer.parseInt(value)))
          : Optional.empty();
    }
    Matcher chunks = CHUNKS.matcher(rest);
    return value.equalsIgnoreCase("chunked") && response.startsWith("HTTP/1.1") && chunks.matches()
        ? Optional.of(chunks.group(1))
        : Optional.empty();
  }

  @Test
  void mutatedResponseIsReturnedAsSentOrFailsTheCall() throws IOException {
    String[] sound = {
      "HTTP/1.1 200 OK\r\nX-Field: a\r\nContent-Length: 4\r\n\r\ndone",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Field: a\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
      "HTTP/1.1 200 OK\r\nX-Field: a\r\n\r\ndone",
    };
    SoftAssertions softly = new SoftAssertions();
    for (int seed = 1; seed <= SEEDS; seed++) {
      String response = mutate(sound[seed % sound.length], new SplittableRandom(seed));
      Optional<String> received = call(response).map(MalformedResponseTest::text);
      if (received.isPresent()) {
        softly
            .assertThat(bodyOf(response))
            .as("seed %s: %s", seed, printable(response))
            .isEqualTo(received);
      }
    }
    softly.assertAll();
  }
}
