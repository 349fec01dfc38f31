package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wigeonstage.gateway.GatewayFixture.statusOf;

import com.google.common.io.Closer;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.wigeonstage.common.Polling;
import org.wigeonstage.http.Endpoint;

/**
 * Guards against responses that are passed on as complete although their server has ended the
 * connection before it could have read the request.
 */
class EarlyResponseIT {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  /** More than the buffers of two sockets take, so that part of it stays unwritten. */
  private static final int UPLOAD_BYTES = 4_000_000;

  /**
   * Fits into the buffers of two sockets, so that it counts as written although nobody reads it.
   */
  private static final int BUFFERED_UPLOAD_BYTES = 1_500_000;

  private static final int SMALL_RECEIVE_BUFFER_BYTES = 16 * 1024;
  private static final int REPETITIONS = 20;
  private static final String BODY = "ten bytes.";

  private final Closer closer = Closer.create();
  private final DecisionLogCapture decisions = closer.register(new DecisionLogCapture());
  private final AtomicInteger uploads = new AtomicInteger();
  private GatewayFixture fixture;

  /** How the server ends the connection of an unread upload. */
  enum End {
    CLOSE,
    SHUT_DOWN_OUTPUT,
    RESET
  }

  @AfterEach
  void stop() throws IOException {
    closer.close();
  }

  private void start(String framing, End end) throws Exception {
    ServerSocket serverSocket = listen();
    serverSocket.setReceiveBufferSize(SMALL_RECEIVE_BUFFER_BYTES);
    start(serverSocket, framing, end);
  }

  private ServerSocket listen() throws IOException {
    return closer.register(new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1")));
  }

  private void start(ServerSocket serverSocket, String framing, End end) throws Exception {
    run(
        () -> {
          while (true) {
            Socket socket = closer.register(serverSocket.accept());
            run(() -> serve(socket, framing, end));
          }
        });
    fixture = closer.register(new GatewayFixture(0));
    fixture.store.write(
        "servers",
        "early",
        ScriptedServer.registration(new Endpoint("127.0.0.1", serverSocket.getLocalPort())));
    fixture.awaitStatus("status", 200);
  }

  private interface Task {
    void run() throws IOException;
  }

  private static void run(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // The gateway has closed the connection, or the test has ended.
              }
            },
            "early-server");
    thread.setDaemon(true);
    thread.start();
  }

  /** Answers each request on its head; ends the connection if its body is an upload. */
  private void serve(Socket socket, String framing, End end) throws IOException {
    InputStream input = socket.getInputStream();
    while (true) {
      String head = readHead(input);
      String id = head.replaceAll("(?is).*attempt-id: (\\S+).*", "$1");
      int length = Integer.parseInt(head.replaceAll("(?is).*content-length: (\\d+).*", "$1"));
      if (ScriptedServer.isWarmUp(id)) {
        input.readNBytes(length);
        send(socket, ScriptedServer.success(id));
        continue;
      }
      uploads.incrementAndGet();
      send(
          socket,
          "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: s\r\n%s\r\n%s"
              .formatted(id, framing, BODY));
      sleep(50); // so that the gateway has read the part
      switch (end) {
        case CLOSE -> socket.close();
        case SHUT_DOWN_OUTPUT -> socket.shutdownOutput();
        case RESET -> {
          socket.setSoLinger(true, 0);
          socket.close();
        }
      }
      return;
    }
  }

  private static String readHead(InputStream input) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int octet = input.read();
      if (octet < 0) {
        throw new IOException("the connection has ended");
      }
      head.append((char) octet);
    }
    return head.toString();
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends an upload, and returns what is read until the connection ends. */
  private String upload(String route) throws IOException {
    return upload(route, UPLOAD_BYTES);
  }

  private String upload(String route, int length) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", fixture.gateway.callersEndpoint().port())) {
      OutputStream out = socket.getOutputStream();
      out.write(
          ("POST /%s/x HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\nAttempt-Id: r\r\n"
                  + "Deadline-Ms: 2500\r\nCredential: key\r\nToken-Count: 10,20\r\n"
                  + "Content-Length: %d\r\n\r\n")
              .formatted(route, length)
              .getBytes(StandardCharsets.US_ASCII));
      out.write(new byte[length]);
      out.flush();
      return GatewayFixture.readResponse(socket);
    }
  }

  @ParameterizedTest
  @EnumSource(End.class)
  void unframedResponseThatEndsBeforeItsRequestIsWrittenIsNotComplete(End end) throws Exception {
    start("", end);
    assertThat(statusOf(upload("plain"))).isEqualTo(502);
    assertThat(uploads).hasValue(1);
  }

  @ParameterizedTest
  @EnumSource(End.class)
  void idempotentRequestIsSentAgain(End end) throws Exception {
    start("", end);
    assertThat(statusOf(upload("status"))).isEqualTo(502);
    assertThat(uploads.get()).isGreaterThan(1);
  }

  @Test
  void reasonIsLogged() throws Exception {
    start("", End.SHUT_DOWN_OUTPUT);
    upload("plain");
    Polling.await(() -> !decisions.linesOf("attempt-ended").isEmpty(), TIMEOUT);
    assertThat(decisions.linesOf("attempt-ended").get(0))
        .contains("\"closedBy\":\"server\"")
        .contains("\"closeReason\":\"request_unwritten\"");
  }

  /** The server's system sends the end first, as for a sound response, and a reset behind it. */
  @ParameterizedTest
  @CsvSource({"plain, CLOSE", "plain, RESET", "status, CLOSE", "status, RESET"})
  void unframedResponseIsNotCompleteIfItsRequestWasWrittenButNotRead(String route, End end)
      throws Exception {
    start(listen(), "", end);
    for (int i = 0; i < REPETITIONS; i++) {
      assertThat(statusOf(upload(route, 100))).isEqualTo(502);
      assertThat(statusOf(upload(route, BUFFERED_UPLOAD_BYTES))).isEqualTo(502);
    }
  }

  @Test
  void resetBehindTheEndIsLogged() throws Exception {
    start(listen(), "", End.CLOSE);
    upload("plain", BUFFERED_UPLOAD_BYTES);
    Polling.await(() -> !decisions.linesOf("connection-lost").isEmpty(), TIMEOUT);
    assertThat(decisions.linesOf("connection-lost").get(0))
        .contains("connection reset behind its end")
        .contains("\"closedBy\":\"server\"")
        .contains("\"closeReason\":\"network_failed\"");
  }

  /** Servers may answer an upload early, for example to reject it. */
  @ParameterizedTest
  @CsvSource({"CLOSE", "SHUT_DOWN_OUTPUT"})
  void framedResponseIsCompleteBeforeItsRequestIsWritten(End end) throws Exception {
    start("Content-Length: " + BODY.length() + "\r\n", end);
    String response = upload("plain");
    assertThat(statusOf(response)).isEqualTo(200);
    assertThat(response).endsWith(BODY);
  }
}
