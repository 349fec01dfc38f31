package org.wigeonstage.http;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.io.Closer;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wigeonstage.request.HeaderFields;

class PooledHttpClientTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final Duration SHORT = Duration.ofMillis(500);
  private static final OutboundCall CALL =
      new OutboundCall("GET", "/", "localhost", HeaderFields.NONE, new byte[0]);

  private final Closer closer = Closer.create();
  private volatile Duration now = Duration.ofSeconds(100);
  private volatile HeaderFields answerFields = HeaderFields.NONE;
  private final HttpServer server =
      closer.register(
          HttpServer.start(
              "test",
              new Endpoint("127.0.0.1", 0),
              1024,
              exchange -> exchange.respond(200, answerFields, new byte[0])));
  private final PooledHttpClient client =
      closer.register(PooledHttpClient.start("test", 1, () -> now));

  @AfterEach
  void close() throws IOException {
    closer.close();
  }

  @Test
  void usesAConnectionAgainThatWasInUseJustNow() throws Exception {
    call(SHORT);
    now = now.plusMillis(499);
    call(SHORT);
    assertThat(client.connectAttempts()).isEqualTo(1);
  }

  @Test
  void makesANewConnectionForACallThatMustNotMeetAnIdleOne() throws Exception {
    call(SHORT);
    now = now.plusMillis(501);
    call(SHORT);
    assertThat(client.connectAttempts()).isEqualTo(2);
  }

  @Test
  void keepsAnIdleConnectionForCallsThatMayBeRepeated() throws Exception {
    call(TIMEOUT);
    now = now.plusMillis(501);
    call(SHORT);
    now = now.plusMillis(10);
    call(TIMEOUT);
    assertThat(client.connectAttempts()).isEqualTo(2);
  }

  @Test
  void givesUpAConnectionBeforeItsServerDoes() throws Exception {
    answerFields = HeaderFields.NONE.with("Keep-Alive", "timeout=2");
    call(TIMEOUT);
    now = now.plusMillis(1400);
    call(TIMEOUT);
    assertThat(client.connectAttempts()).isEqualTo(2);
  }

  /** LOST: a call that was given up as it ended took the next call's connection with it. */
  @Test
  void leavesAConnectionAloneThatServesAnotherCallOnceItsAnswerIsWhole() throws Exception {
    ClientExchange first = call(TIMEOUT);
    first.abort();
    call(TIMEOUT);
    assertThat(client.connectAttempts()).isEqualTo(1);
  }

  private ClientExchange call(Duration maxIdle) throws InterruptedException {
    CountDownLatch ended = new CountDownLatch(1);
    ClientExchange exchange = client.send(server.endpoint(), CALL, maxIdle, new Listener(ended));
    assertThat(ended.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS)).isTrue();
    return exchange;
  }

  /** Waits for the end of an answer. */
  private static final class Listener extends NoOpResponseListener {

    private final CountDownLatch latch;

    Listener(CountDownLatch latch) {
      this.latch = latch;
    }

    @Override
    public void onComplete() {
      latch.countDown();
    }
  }
}
