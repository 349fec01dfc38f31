package org.wigeonstage.http;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.io.Closer;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonstage.request.HeaderFields;

/** Tests servers that close or drop idle connections of the client. */
class IdleConnectionTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final OutboundCall CALL =
      new OutboundCall("GET", "/", "localhost", HeaderFields.NONE, new byte[0]);
  private static final byte[] RESPONSE =
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  private final Closer closer = Closer.create();
  private final List<Socket> acceptedSockets = new CopyOnWriteArrayList<>();
  private final List<Thread> servingThreads = new CopyOnWriteArrayList<>();
  private final List<Socket> droppedSockets = new CopyOnWriteArrayList<>();
  private volatile Duration now = Duration.ofSeconds(100);

  /** The server responds after this number of requests has arrived, on separate connections. */
  private volatile CountDownLatch requiredArrivals = new CountDownLatch(0);

  private ServerSocket serverSocket;
  private PooledHttpClient client;

  @BeforeEach
  void start() throws IOException {
    serverSocket = closer.register(new ServerSocket(0, 10, InetAddress.getLoopbackAddress()));
    client = closer.register(PooledHttpClient.start("test", 1, () -> now));
    newDaemonThread(this::acceptAll).start();
  }

  @AfterEach
  void close() throws IOException {
    closer.close();
    for (Socket socket : acceptedSockets) {
      socket.close();
    }
  }

  private static Thread newDaemonThread(Runnable action) {
    Thread thread = new Thread(action);
    thread.setDaemon(true);
    return thread;
  }

  private void acceptAll() {
    try {
      while (true) {
        Socket socket = serverSocket.accept();
        acceptedSockets.add(socket);
        Thread thread = newDaemonThread(() -> serve(socket));
        servingThreads.add(thread);
        thread.start();
      }
    } catch (IOException e) {
      // The test has ended.
    }
  }

  private void serve(Socket socket) {
    try {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        if (!line.isEmpty()) {
          continue;
        }
        if (droppedSockets.contains(socket)) {
          socket.setSoLinger(true, 0);
          socket.close();
          return;
        }
        requiredArrivals.countDown();
        requiredArrivals.await();
        socket.getOutputStream().write(RESPONSE);
      }
    } catch (IOException e) {
      // The client or the test closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends a call; the result is whether a complete response arrived. */
  private CompletableFuture<Boolean> call() {
    CompletableFuture<Boolean> result = new CompletableFuture<>();
    Endpoint server = new Endpoint("127.0.0.1", serverSocket.getLocalPort());
    client.send(
        server,
        CALL,
        TIMEOUT,
        new NoOpResponseListener() {
          @Override
          public void onComplete() {
            result.complete(true);
          }

          @Override
          public void onFailure(Throwable cause) {
            result.complete(false);
          }
        });
    return result;
  }

  private static boolean isAnswered(CompletableFuture<Boolean> call) throws Exception {
    return call.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void connectionIsNotReusedAfterTheServerClosedIt(boolean isReset) throws Exception {
    assertThat(isAnswered(call())).isTrue();
    Socket socket = acceptedSockets.get(0);
    socket.setSoLinger(isReset, 0);
    socket.close();
    // The reset is sent only after the serving thread has returned from its read of the socket.
    servingThreads.get(0).join();
    CountDownLatch readsProcessed = new CountDownLatch(1);
    client.afterPendingReads(readsProcessed::countDown);
    assertThat(readsProcessed.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS)).isTrue();
    assertThat(isAnswered(call())).isTrue();
    assertThat(client.connectAttempts()).isEqualTo(2);
  }

  /** The client can't detect that the server dropped the connections until it reuses one. */
  @Test
  void connectionIsNotReusedAfterAnEquallyOldOneWasLost() throws Exception {
    requiredArrivals = new CountDownLatch(2);
    CompletableFuture<Boolean> first = call();
    CompletableFuture<Boolean> second = call();
    assertThat(isAnswered(first) && isAnswered(second)).isTrue();
    droppedSockets.addAll(acceptedSockets);
    now = now.plusSeconds(2);
    assertThat(isAnswered(call())).isFalse();
    assertThat(isAnswered(call())).isTrue();
    assertThat(client.connectAttempts()).isEqualTo(3);
  }

  @Test
  void connectionIsReusedAfterAnUnansweredCallOnAnotherWasAborted() throws Exception {
    requiredArrivals = new CountDownLatch(2);
    CompletableFuture<Boolean> first = call();
    CompletableFuture<Boolean> second = call();
    assertThat(isAnswered(first) && isAnswered(second)).isTrue();
    requiredArrivals = new CountDownLatch(2);
    client
        .send(
            new Endpoint("127.0.0.1", serverSocket.getLocalPort()),
            CALL,
            TIMEOUT,
            new NoOpResponseListener())
        .abort();
    requiredArrivals = new CountDownLatch(0);
    assertThat(isAnswered(call())).isTrue();
    assertThat(client.connectAttempts()).isEqualTo(2);
  }
}
