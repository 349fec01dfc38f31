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
  private static final Duration LONG_MAX_IDLE = Duration.ofSeconds(20);
  private static final Duration SHORT_MAX_IDLE = Duration.ofMillis(500);
  private static final OutboundCall CALL =
      new OutboundCall("GET", "/", "localhost", HeaderFields.NONE, new byte[0]);

  private final Closer closer = Closer.create();
  private volatile Duration now = Duration.ofSeconds(100);
  private volatile HeaderFields responseFields = HeaderFields.NONE;
  private final HttpServer server =
      closer.register(
          HttpServer.start(
              "test",
              new Endpoint("127.0.0.1", 0),
              1024,
              exchange -> exchange.respond(200, responseFields, new byte[0])));
  private final PooledHttpClient client =
      closer.register(PooledHttpClient.start("test", 1, () -> now));

  @AfterEach
  void close() throws IOException {
    closer.close();
  }

  @Test
  void reusesAConnectionThatIsIdleForLessThanMaxIdle() throws Exception {
    call(SHORT_MAX_IDLE);
    now = now.plusMillis(499);
    call(SHORT_MAX_IDLE);
    assertThat(client.connectAttempts()).isEqualTo(1);
  }

  @Test
  void opensANewConnectionIfTheOldOneIsIdleForLongerThanMaxIdle() throws Exception {
    call(SHORT_MAX_IDLE);
    now = now.plusMillis(501);
    call(SHORT_MAX_IDLE);
    assertThat(client.connectAttempts()).isEqualTo(2);
  }

  @Test
  void callWithShortMaxIdleKeepsTheOlderConnectionForOtherCalls() throws Exception {
    call(LONG_MAX_IDLE);
    now = now.plusMillis(501);
    call(SHORT_MAX_IDLE);
    now = now.plusMillis(10);
    call(LONG_MAX_IDLE);
    assertThat(client.connectAttempts()).isEqualTo(2);
  }

  @Test
  void closesAConnectionBeforeTheAnnouncedIdleTimeoutOfItsServer() throws Exception {
    responseFields = HeaderFields.NONE.with("Keep-Alive", "timeout=2");
    call(LONG_MAX_IDLE);
    // The client closes the connection 700 ms before the announced 2 s, so after 1300 ms.
    now = now.plusMillis(1400);
    call(LONG_MAX_IDLE);
    assertThat(client.connectAttempts()).isEqualTo(2);
  }

  /**
   * Guards against responses that are lost when their connection is closed: aborting a call that
   * had just completed closed its connection, which already served another call.
   */
  @Test
  void abortAfterACompleteResponseLeavesTheConnectionOpen() throws Exception {
    ClientExchange first = call(LONG_MAX_IDLE);
    first.abort();
    call(LONG_MAX_IDLE);
    assertThat(client.connectAttempts()).isEqualTo(1);
  }

  private ClientExchange call(Duration maxIdle) throws InterruptedException {
    CountDownLatch completed = new CountDownLatch(1);
    ClientExchange exchange =
        client.send(server.endpoint(), CALL, maxIdle, new CompletionListener(completed));
    assertThat(completed.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS)).isTrue();
    return exchange;
  }

  /** Counts down a latch when the response is complete. */
  private static final class CompletionListener extends NoOpResponseListener {

    private final CountDownLatch completed;

    CompletionListener(CountDownLatch completed) {
      this.completed = completed;
    }

    @Override
    public void onComplete() {
      completed.countDown();
    }
  }
}
