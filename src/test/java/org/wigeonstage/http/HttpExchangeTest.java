package org.wigeonstage.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wigeonstage.request.HttpCall;

/** Tests an {@link HttpClient} with an {@link HttpServer}. */
class HttpExchangeTest {

  private static final Endpoint ANY_PORT = new Endpoint("127.0.0.1", 0);
  private static final HttpCall GET = new HttpCall("GET", "/x?y=1", null, new byte[0]);
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private HttpClient client;

  @BeforeEach
  void startClient() {
    client = HttpClient.start("test-client", 1);
  }

  @AfterEach
  void stopClient() throws IOException {
    client.close();
  }

  private HttpResponse call(HttpServer server, HttpCall call) {
    return BlockingCall.execute(client, server.endpoint(), call, Map.of(), TIMEOUT);
  }

  @Test
  void completeResponseIsReturned() throws IOException {
    try (HttpServer server =
        HttpServer.start(
            "test",
            ANY_PORT,
            1000,
            exchange -> exchange.respond(201, "text/plain", exchange.pathAndQuery()))) {
      HttpResponse response = call(server, GET);
      assertThat(response.status()).isEqualTo(201);
      assertThat(response.text()).isEqualTo("/x?y=1");
    }
  }

  @Test
  void bodyOfARequestThatOffersAnUpgradeIsRead() throws Exception {
    try (HttpServer server =
        HttpServer.start(
            "test",
            ANY_PORT,
            1000,
            exchange -> exchange.respond(200, "text/plain", exchange.text()))) {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + server.endpoint() + "/"))
              .timeout(TIMEOUT)
              .POST(HttpRequest.BodyPublishers.ofString("hello"))
              .build();
      java.net.http.HttpResponse<String> response =
          java.net.http.HttpClient.newHttpClient()
              .send(request, java.net.http.HttpResponse.BodyHandlers.ofString());
      assertThat(response.body()).isEqualTo("hello");
    }
  }

  @Test
  void abortedResponseFailsTheCall() throws IOException {
    try (HttpServer server =
        HttpServer.start(
            "test",
            ANY_PORT,
            1000,
            exchange -> {
              exchange.start(200, "text/plain", Map.of());
              exchange.write(new byte[100]);
              exchange.abort();
            })) {
      for (int i = 0; i < 20; i++) {
        assertThatThrownBy(() -> call(server, GET))
            .isInstanceOfSatisfying(
                CallFailedException.class, e -> assertThat(e.mayHaveBeenSent()).isTrue());
      }
    }
  }

  @Test
  void refusedConnectionCountsAsNotSent() throws IOException {
    HttpServer server = HttpServer.start("test", ANY_PORT, 1000, exchange -> {});
    Endpoint endpoint = server.endpoint();
    server.close();
    assertThatThrownBy(() -> BlockingCall.execute(client, endpoint, GET, Map.of(), TIMEOUT))
        .isInstanceOfSatisfying(
            CallFailedException.class, e -> assertThat(e.mayHaveBeenSent()).isFalse());
  }

  @Test
  void tooLargeBodyIsRefusedWithoutAffectingOtherRequests() throws IOException {
    try (HttpServer server =
        HttpServer.start(
            "test", ANY_PORT, 1000, exchange -> exchange.respond(200, "text/plain", "ok"))) {
      HttpCall large = new HttpCall("POST", "/", "text/plain", new byte[2000]);
      assertThat(call(server, large).status()).isEqualTo(413);
      assertThat(call(server, GET).status()).isEqualTo(200);
    }
  }

  @Test
  void pausedCallAppliesBackPressureToTheServer() throws Exception {
    int partCount = 2000;
    int partBytes = 10_000;
    AtomicLong deliveredBytes = new AtomicLong();
    try (HttpServer server =
        HttpServer.start(
            "test",
            ANY_PORT,
            1000,
            exchange -> {
              exchange.onDelivered(deliveredBytes::set);
              exchange.start(200, "text/plain", Map.of());
              for (int i = 0; i < partCount; i++) {
                exchange.write(new byte[partBytes]);
              }
              exchange.end();
            })) {
      CountingListener listener = new CountingListener();
      ClientExchange exchange = client.send(server.endpoint(), GET, Map.of(), listener);
      exchange.pause();
      Thread.sleep(1000);
      long deliveredWhilePaused = deliveredBytes.get();
      exchange.resume();
      assertThat(listener.completed.await(20, TimeUnit.SECONDS)).isTrue();
      assertThat(deliveredWhilePaused).isLessThan((long) partCount * partBytes);
      assertThat(listener.receivedBytes.get()).isEqualTo((long) partCount * partBytes);
    }
  }

  /** Counts the bytes of a response. */
  private static final class CountingListener extends NoOpResponseListener {
    private final AtomicLong receivedBytes = new AtomicLong();
    private final CountDownLatch completed = new CountDownLatch(1);

    @Override
    public void onData(byte[] data) {
      receivedBytes.addAndGet(data.length);
    }

    @Override
    public void onComplete() {
      completed.countDown();
    }
  }
}
