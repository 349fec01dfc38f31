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

/** A server ends connections that rest. */
class RestedConnectionTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final OutboundCall CALL =
      new OutboundCall("GET", "/", "localhost", HeaderFields.NONE, new byte[0]);
  private static final byte[] ANSWER =
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  private final Closer closer = Closer.create();
  private final List<Socket> accepted = new CopyOnWriteArrayList<>();
  private final List<Socket> dropped = new CopyOnWriteArrayList<>();
  private volatile Duration now = Duration.ofSeconds(100);
  private volatile CountDownLatch arrivals = new CountDownLatch(0);
  private ServerSocket listener;
  private PooledHttpClient client;

  @BeforeEach
  void start() throws IOException {
    listener = closer.register(new ServerSocket(0, 10, InetAddress.getLoopbackAddress()));
    client = closer.register(PooledHttpClient.start("test", 1, () -> now));
    startThread(this::acceptAll);
  }

  @AfterEach
  void close() throws IOException {
    closer.close();
    for (Socket socket : accepted) {
      socket.close();
    }
  }

  private static void startThread(Runnable action) {
    Thread thread = new Thread(action);
    thread.setDaemon(true);
    thread.start();
  }

  private void acceptAll() {
    try {
      while (true) {
        Socket socket = listener.accept();
        accepted.add(socket);
        startThread(() -> serve(socket));
      }
    } catch (IOException e) {
      // The test is over.
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
        if (dropped.contains(socket)) {
          socket.setSoLinger(true, 0);
          socket.close();
          return;
        }
        arrivals.countDown();
        arrivals.await();
        socket.getOutputStream().write(ANSWER);
      }
    } catch (IOException e) {
      // The client has closed the connection, or the test is over.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Makes a call; the result is whether it was answered. */
  private CompletableFuture<Boolean> call() {
    CompletableFuture<Boolean> answered = new CompletableFuture<>();
    Endpoint server = new Endpoint("127.0.0.1", listener.getLocalPort());
    client.send(
        server,
        CALL,
        TIMEOUT,
        new NoOpResponseListener() {
          @Override
          public void onComplete() {
            answered.complete(true);
          }

          @Override
          public void onFailure(Throwable cause) {
            answered.complete(false);
          }
        });
    return answered;
  }

  private static boolean isAnswered(CompletableFuture<Boolean> call) throws Exception {
    return call.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void isNotUsedOnceItsEndHasArrived(boolean isReset) throws Exception {
    assertThat(isAnswered(call())).isTrue();
    Socket socket = accepted.get(0);
    socket.setSoLinger(isReset, 0);
    socket.close();
    CountDownLatch caughtUp = new CountDownLatch(1);
    client.afterPendingReads(caughtUp::countDown);
    assertThat(caughtUp.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS)).isTrue();
    assertThat(isAnswered(call())).isTrue();
    assertThat(client.connectAttempts()).isEqualTo(2);
  }

  /** Nothing tells that the server has dropped them, until one is used. */
  @Test
  void isNotUsedAfterOneOfItsAgeWasLost() throws Exception {
    arrivals = new CountDownLatch(2);
    CompletableFuture<Boolean> first = call();
    CompletableFuture<Boolean> second = call();
    assertThat(isAnswered(first) && isAnswered(second)).isTrue();
    dropped.addAll(accepted);
    now = now.plusSeconds(2);
    assertThat(isAnswered(call())).isFalse();
    assertThat(isAnswered(call())).isTrue();
    assertThat(client.connectAttempts()).isEqualTo(3);
  }

  @Test
  void isUsedAfterACallWasGivenUpThatWasNotAnswered() throws Exception {
    arrivals = new CountDownLatch(2);
    CompletableFuture<Boolean> first = call();
    CompletableFuture<Boolean> second = call();
    assertThat(isAnswered(first) && isAnswered(second)).isTrue();
    arrivals = new CountDownLatch(2);
    client
        .send(
            new Endpoint("127.0.0.1", listener.getLocalPort()),
            CALL,
            TIMEOUT,
            new NoOpResponseListener())
        .abort();
    arrivals = new CountDownLatch(0);
    assertThat(isAnswered(call())).isTrue();
    assertThat(client.connectAttempts()).isEqualTo(2);
  }
}
