package org.wigeonstage.http;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.io.Closer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wigeonstage.http.ServerConnectionEnd.Reason;
import org.wigeonstage.request.HeaderFields;

/** Tests that each end of a connection to a server is reported once, with its reason. */
class ServerConnectionEndTest {

  private static final int TIMEOUT_SECONDS = 20;
  private static final Duration MAX_IDLE = Duration.ofSeconds(1);
  private static final String COMPLETE = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
  private static final String INCOMPLETE = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody";

  private final Closer closer = Closer.create();
  private final BlockingQueue<ServerConnectionEnd> ends = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> notifications = new LinkedBlockingQueue<>();
  private ServerSocket server;
  private PooledHttpClient client;
  private volatile Duration now = Duration.ZERO;

  @BeforeEach
  void start() throws IOException {
    server = closer.register(new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1")));
    client = closer.register(PooledHttpClient.start("test", 1, () -> now, ends::add));
  }

  @AfterEach
  void stop() throws IOException {
    closer.close();
  }

  /** Sends a call, and returns it once its connection is accepted. */
  private Call send() throws IOException {
    ClientExchange exchange =
        client.send(
            endpoint(),
            new OutboundCall("GET", "/", "host", HeaderFields.NONE, new byte[0]),
            MAX_IDLE,
            new NoOpResponseListener() {
              @Override
              public void onData(byte[] data) {
                notifications.add("data");
              }

              @Override
              public void onComplete() {
                notifications.add("complete");
              }

              @Override
              public void onFailure(Throwable cause) {
                notifications.add(((ConnectionLostException) cause).reason().name());
              }
            });
    return new Call(exchange, closer.register(server.accept()));
  }

  private Endpoint endpoint() {
    return new Endpoint("127.0.0.1", server.getLocalPort());
  }

  private record Call(ClientExchange exchange, Socket socket) {

    void respond(String bytes) throws IOException {
      // The request is read, because a socket with unread bytes is reset when it is closed.
      assertThat(socket.getInputStream().read(new byte[1024])).isPositive();
      write(bytes);
    }

    void write(String bytes) throws IOException {
      socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
    }
  }

  private void assertNotified(String expected) throws InterruptedException {
    assertThat(notifications.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo(expected);
  }

  private void assertEnd(Reason reason, boolean isCut) throws InterruptedException {
    ServerConnectionEnd end = ends.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertThat(end).isNotNull();
    assertThat(end.reason()).isEqualTo(reason);
    assertThat(end.isCut()).isEqualTo(isCut);
    assertThat(end.server()).contains(Integer.toString(server.getLocalPort()));
    assertThat(ends).isEmpty();
  }

  private Call sendIncomplete() throws Exception {
    Call call = send();
    call.respond(INCOMPLETE);
    assertNotified("data");
    return call;
  }

  private Call sendComplete() throws Exception {
    Call call = send();
    call.respond(COMPLETE);
    assertNotified("data");
    assertNotified("complete");
    return call;
  }

  @Test
  void connectionThatTheServerClosesInAResponseIsClosedByTheServer() throws Exception {
    sendIncomplete().socket().close();
    assertNotified("SERVER_CLOSED");
    assertEnd(Reason.SERVER_CLOSED, true);
  }

  @Test
  void connectionThatIsResetInAResponseFailed() throws Exception {
    Call call = sendIncomplete();
    call.socket().setSoLinger(true, 0);
    call.socket().close();
    assertNotified("NETWORK_FAILED");
    assertEnd(Reason.NETWORK_FAILED, true);
  }

  @Test
  void connectionOfAnAbortedCallIsAborted() throws Exception {
    sendIncomplete().exchange().abort();
    assertNotified("ABORTED");
    assertEnd(Reason.ABORTED, true);
  }

  @Test
  void connectionWithAMalformedResponseIsMalformed() throws Exception {
    Call call = send();
    call.respond("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nno length\r\n");
    assertNotified("MALFORMED");
    assertEnd(Reason.MALFORMED, true);
  }

  @Test
  void connectionWithDataThatBelongsToNoCallCutsNoResponse() throws Exception {
    sendComplete().write(COMPLETE);
    assertEnd(Reason.UNEXPECTED_DATA, false);
  }

  @Test
  void responseThatAnnouncesTheEndOfItsConnectionIsNotCut() throws Exception {
    send().respond("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody");
    assertEnd(Reason.NOT_REUSABLE, false);
  }

  @Test
  void unframedResponseIsNotCutByTheEndOfItsConnection() throws Exception {
    Call call = send();
    call.respond("HTTP/1.1 200 OK\r\n\r\nbody");
    assertNotified("data");
    call.socket().close();
    assertNotified("complete");
    assertEnd(Reason.SERVER_CLOSED, false);
  }

  @Test
  void idleConnectionOfAnUnreachableServerCutsNoResponse() throws Exception {
    sendComplete();
    client.closeIdle(endpoint());
    assertEnd(Reason.SERVER_UNREACHABLE, false);
  }

  @Test
  void connectionPastItsIdleTimeoutCutsNoResponse() throws Exception {
    sendComplete();
    now = Duration.ofMinutes(1);
    client.closeExpired();
    assertEnd(Reason.IDLE, false);
  }

  @Test
  void idleConnectionThatTheServerClosesCutsNoResponse() throws Exception {
    sendComplete().socket().close();
    assertEnd(Reason.SERVER_CLOSED, false);
  }
}
