package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.io.Closer;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeonstage.common.Polling;
import org.wigeonstage.gateway.ScriptedServer.Ending;

/** Tests servers that say in their responses that they leave, or want nothing for some time. */
class UnwillingServerIT {

  private static final Duration INTERVAL = Duration.ofMillis(20);

  /** The ID of a request that the willing server declines, so that its whole log is written. */
  private static final String FAILING = "failing";

  /** In this time, requests that were placed before the announcement have reached the server. */
  private static final Duration SETTLING_TIME = Duration.ofMillis(300);

  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private final Closer closer = Closer.create();
  private final DecisionLogCapture decisions = closer.register(new DecisionLogCapture());
  private final List<Instant> arrivals = new CopyOnWriteArrayList<>();
  private GatewayFixture fixture;

  /** Starts a willing server beside one whose responses have additional fields. */
  private void start(String status, String fields) throws Exception {
    ScriptedServer willing =
        closer.register(
            new ScriptedServer(
                (id, position) ->
                    id.equals(FAILING) ? ScriptedServer.refusal(id) : ScriptedServer.success(id)));
    ScriptedServer unwilling =
        closer.register(
            ScriptedServer.afterWarmUp(
                (id, position) -> {
                  arrivals.add(Instant.now());
                  return ScriptedServer.response(
                      status, "Attempt-Id: " + id + "\r\nResponse-Signature: s\r\n" + fields);
                },
                Ending.KEPT));
    fixture = closer.register(GatewayFixture.with(willing));
    fixture.store.write("servers", "unwilling", unwilling.registration());
  }

  @AfterEach
  void stop() throws IOException {
    closer.close();
  }

  /** Sends requests for a time; returns when the first one reached the unwilling server. */
  private Instant sendRequests(Duration length) throws Exception {
    Instant end = Instant.now().plus(length);
    for (int i = 0; Instant.now().isBefore(end); i++) {
      assertThat(GatewayFixture.statusOf(fixture.request("status", "r" + i))).isEqualTo(200);
      Thread.sleep(INTERVAL.toMillis());
    }
    assertThat(arrivals).isNotEmpty();
    return arrivals.get(0);
  }

  private long arrivalsBetween(Instant from, Instant to) {
    return arrivals.stream().filter(time -> time.isAfter(from) && time.isBefore(to)).count();
  }

  @Test
  void serverThatSaysItLeavesGetsNoNewRequestsAfterTheLeavingTime() throws Exception {
    start("200 OK", "Server-Leaving: 1\r\n");
    Instant first = sendRequests(Duration.ofSeconds(4));
    assertThat(arrivalsBetween(first.plusSeconds(2), Instant.now())).isZero();
  }

  @ParameterizedTest
  @CsvSource({"503 Service Unavailable, Not-Executed: 1", "500 Internal Server Error, X: 1"})
  void serverThatSaysInAFailureThatItLeavesGetsNoNewRequests(String status, String field)
      throws Exception {
    start(status, field + "\r\nServer-Leaving: 1\r\n");
    Instant first = sendRequests(Duration.ofSeconds(1));
    assertThat(decisions.linesOf("server-leaving")).hasSize(1);
    assertThat(arrivalsBetween(first.plus(SETTLING_TIME), Instant.now())).isZero();
  }

  @Test
  void serverIsUsedOnIfOnlyAMisdirectedResponseAtItsAddressSaysThatItLeaves() throws Exception {
    start("421 Misdirected Request", "Server-Leaving: 1\r\n");
    sendRequests(Duration.ofMillis(500));
    assertThat(decisions.linesOf("server-leaving")).isEmpty();
  }

  @Test
  void serverGetsNoNewRequestsFromAGatewayWhosePeerItToldThatItLeaves() throws Exception {
    start("200 OK", "Server-Leaving: 1\r\n");
    GatewayProcess peer = fixture.startGateway("gateway-2");
    assertThat(Polling.await(() -> peer.peerCount() == 1, TIMEOUT)).isTrue();
    sendRequests(Duration.ofMillis(500));
    assertThat(Polling.await(() -> decisions.linesOf("server-leaving").size() == 2, TIMEOUT))
        .isTrue();
    int arrivalsBefore = arrivals.size();
    for (int i = 0; i < 20; i++) {
      try (Socket socket = GatewayFixture.send(peer, "status", "p" + i, "Connection: close\r\n")) {
        assertThat(GatewayFixture.statusOf(GatewayFixture.readResponse(socket))).isEqualTo(200);
      }
    }
    assertThat(arrivals).hasSize(arrivalsBefore);
  }

  @Test
  void placementNamesTheServersThatAreLeftOutBecauseOfTheirAnnouncements() throws Exception {
    start("200 OK", "Server-Leaving: 1\r\n");
    sendRequests(Duration.ofMillis(500));
    assertThat(decisions.linesOf("server-leaving"))
        .anyMatch(line -> line.contains("\"source\":\"own\""));
    fixture.request("status", FAILING, Duration.ofMillis(100));
    assertThat(
            Polling.await(
                () ->
                    decisions.linesOf("placed").stream()
                        .filter(line -> line.contains(FAILING))
                        .anyMatch(line -> line.contains("\"leftOut\":\"unwilling\"")),
                TIMEOUT))
        .isTrue();
  }

  @Test
  void serverThatWantsNothingForSomeTimeGetsAtMostTwoRequestsInIt() throws Exception {
    start("503 Service Unavailable", "Not-Executed: 1\r\nRetry-After: 4\r\n");
    Instant first = sendRequests(Duration.ofSeconds(4));
    assertThat(arrivalsBetween(first.plusMillis(500), first.plusSeconds(4))).isLessThanOrEqualTo(2);
  }
}
