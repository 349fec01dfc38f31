package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wigeonstage.gateway.GatewayFixture.statusOf;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.util.concurrent.Uninterruptibles;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonstage.common.Polling;
import org.wigeonstage.platform.standin.Rehearsal;
import org.wigeonstage.platform.standin.RunnerStandin;
import org.wigeonstage.platform.standin.RunnerStandin.Behaviour;

/** Tests a gateway over sockets, with stand-ins for the platform. */
class GatewayIT {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final int DISCONNECTING_CALLERS = 100;

  private GatewayFixture fixture;

  @BeforeEach
  void start() throws InterruptedException {
    fixture = new GatewayFixture(1);
    fixture.awaitStatus("plain", 200);
  }

  @AfterEach
  void stop() throws IOException {
    fixture.close();
  }

  private RunnerStandin server() {
    return fixture.servers.get(0);
  }

  @Test
  void requestAndResponseAreForwardedUnchanged() throws IOException {
    String response = fixture.request("plain", "a1", "X-Extra: 7", "Tenant: forged");
    assertThat(statusOf(response)).isEqualTo(200);
    assertThat(response).endsWith("answer of runner-1").contains("signed-by-runner-1");
    List<RunnerStandin.RunRecord> runs = fixture.runsOf("a1");
    assertThat(runs).hasSize(1);
    assertThat(runs.get(0).method()).isEqualTo("POST");
    assertThat(runs.get(0).target()).isEqualTo("/plain/x?q=1");
    assertThat(runs.get(0).body()).isEqualTo("body");
    assertThat(runs.get(0).fields().first("Host")).contains("127.0.0.1");
    assertThat(runs.get(0).fields().first("X-Extra")).contains("7");
    assertThat(runs.get(0).fields().first("Tenant")).contains("shop");
    assertThat(runs.get(0).fields().first("Credential")).isEmpty();
  }

  @Test
  void streamDeliversEveryEventOnce() throws IOException {
    String response = fixture.request("stream", "s1");
    assertThat(statusOf(response)).isEqualTo(200);
    for (int event = 1; event <= 8; event++) {
      assertThat(response).containsOnlyOnce("id: " + event + "\n");
    }
    assertThat(response).endsWith("0\r\n\r\n");
  }

  @Test
  void brokenStreamResumesAtAnotherServer() throws Exception {
    awaitUse(fixture.addServer("runner-2"));
    server().setBehaviour(Behaviour.TRUNCATES_RESPONSE);
    int resumedCount = 0;
    // No fixed number of requests: runner-1 gets none while its latency estimate is high.
    long end = System.nanoTime() + TIMEOUT.toNanos();
    for (int i = 0; resumedCount == 0 && System.nanoTime() < end; i++) {
      String response = fixture.request("stream", "r" + i);
      for (int event = 1; event <= 8; event++) {
        assertThat(response).containsOnlyOnce("id: " + event + "\n");
      }
      assertThat(response).endsWith("0\r\n\r\n");
      resumedCount += fixture.runsOf("r" + i).size() == 2 ? 1 : 0;
    }
    assertThat(resumedCount).isPositive();
  }

  /** Sends requests until the given server gets one. */
  private void awaitUse(RunnerStandin other) throws InterruptedException {
    int[] requestCount = {0};
    boolean isUsed =
        Polling.await(
            () -> {
              try {
                fixture.request("status", "warm-" + requestCount[0]++);
              } catch (IOException e) {
                throw new UncheckedIOException(e);
              }
              return !other.runs().isEmpty();
            },
            Duration.ofSeconds(20));
    assertThat(isUsed).isTrue();
  }

  /**
   * Guards against running requests of callers that are no longer connected: they connect and
   * disconnect while the thread that accepts connections and reads requests is delayed.
   */
  @Test
  void requestsOfCallersThatDisconnectedBeforeTheirConnectionWasAcceptedAreNotRun()
      throws Exception {
    server().setBehaviour(Behaviour.NEVER_RESPONDS);
    Socket openSocket = fixture.sendPlain("open-1");
    assertThat(Polling.await(() -> !fixture.runsOf("open-1").isEmpty(), TIMEOUT)).isTrue();
    server().setBehaviour(Behaviour.NORMAL);
    CountDownLatch mayRelease = new CountDownLatch(1);
    CountDownLatch isLocked = new CountDownLatch(1);
    Thread lockHolder =
        new Thread(() -> fixture.gateway.core().withLock(() -> holdLock(isLocked, mayRelease)));
    lockHolder.start();
    isLocked.await();
    // The reading thread blocks, because it needs the lock to end the request of this caller.
    openSocket.close();
    assertThat(Polling.await(GatewayIT::isReadingThreadBlocked, TIMEOUT)).isTrue();
    for (int i = 0; i < DISCONNECTING_CALLERS; i++) {
      fixture.sendPlain("left-" + i).close();
    }
    mayRelease.countDown();
    lockHolder.join();
    fixture.awaitStatus("plain", 200);
    for (int i = 0; i < DISCONNECTING_CALLERS; i++) {
      assertThat(fixture.runsOf("left-" + i)).isEmpty();
    }
  }

  private static void holdLock(CountDownLatch isLocked, CountDownLatch mayRelease) {
    isLocked.countDown();
    Uninterruptibles.awaitUninterruptibly(mayRelease);
  }

  private static boolean isReadingThreadBlocked() {
    return Thread.getAllStackTraces().keySet().stream()
        .filter(thread -> thread.getName().startsWith("callers(1)"))
        .anyMatch(thread -> thread.getState() == Thread.State.BLOCKED);
  }

  /** An endless response without events must be aborted long before the request's deadline. */
  @Test
  void endlessResponseWithoutEventsIsAborted() throws Exception {
    server().setBehaviour(Behaviour.SENDS_ENDLESS_EVENT);
    String response = fixture.request("stream", "endless-1");
    assertThat(statusOf(response)).isNotEqualTo(200);
    assertThat(server().endlessBytesSent()).isBetween(1L, 16L * 1024 * 1024);
    server().setBehaviour(Behaviour.NORMAL);
    assertThat(statusOf(fixture.request("plain", "after-endless"))).isEqualTo(200);
  }

  @Test
  void brokenStreamIsVisiblyIncompleteIfThereIsNoOtherServer() throws IOException {
    server().setBehaviour(Behaviour.TRUNCATES_RESPONSE);
    String response = fixture.request("stream", "c1");
    assertThat(response).doesNotEndWith("0\r\n\r\n").doesNotContain("id: 4\n");
  }

  @ParameterizedTest
  @EnumSource(
      value = Behaviour.class,
      names = {
        "LOSES_RESPONSE",
        "TRUNCATES_RESPONSE",
        "RETURNS_OTHER_ATTEMPT_ID",
        "OMITS_SIGNATURE"
      })
  void nonIdempotentRequestThatMayHaveRunIsReportedAndNotRetried(Behaviour behaviour)
      throws IOException {
    server().setBehaviour(behaviour);
    String response = fixture.request("plain", "u1");
    assertThat(statusOf(response)).isEqualTo(502);
    assertThat(response).doesNotContain("Response-Signature");
    assertThat(fixture.runsOf("u1")).hasSize(1);
  }

  @ParameterizedTest
  @EnumSource(
      value = Behaviour.class,
      names = {
        "LOSES_RESPONSE",
        "TRUNCATES_RESPONSE",
        "RETURNS_OTHER_ATTEMPT_ID",
        "OMITS_SIGNATURE",
        "FAILS"
      })
  void idempotentRequestIsRetriedAtAnotherServer(Behaviour behaviour) throws Exception {
    RunnerStandin second = fixture.addServer("runner-2");
    awaitUse(second);
    server().setBehaviour(behaviour);
    for (int i = 0; i < 4; i++) {
      String response = fixture.request("status", "i" + i);
      assertThat(statusOf(response)).isEqualTo(200);
      assertThat(response).endsWith("answer of runner-2");
    }
  }

  @Test
  void errorResponseOfAServerIsForwardedUnchanged() throws IOException {
    server().setBehaviour(Behaviour.FAILS);
    String response = fixture.request("plain", "f1");
    assertThat(statusOf(response)).isEqualTo(500);
    assertThat(response).endsWith("failed").contains("signed-by-runner-1");
  }

  @Test
  void requestDeclinedByTheServerIsRejectedAsNotRun() throws IOException {
    server().setBehaviour(Behaviour.DECLINES);
    String response = fixture.request("plain", "d1");
    assertThat(statusOf(response)).isEqualTo(503);
    assertThat(response).contains("Retry-After: ");
    assertThat(fixture.runsOf("d1")).isEmpty();
  }

  @Test
  void requestIsNotRunByAnotherServerAtTheSameAddress() throws Exception {
    fixture.store.remove("servers", "runner-1");
    fixture.store.write("servers", "renamed", server().registration("engines", "ready"));
    fixture.awaitStatus("plain", 503);
    assertThat(fixture.runsOf("wait-plain503-final")).isEmpty();
  }

  @Test
  void leavingServerGetsNoNewRequests() throws Exception {
    fixture.store.write("servers", "runner-1", server().registration("engines", "draining"));
    fixture.awaitStatus("plain", 503);
    int runsBefore = server().runs().size();
    assertThat(statusOf(fixture.request("plain", "l1"))).isEqualTo(503);
    assertThat(server().runs()).hasSize(runsBefore);
  }

  @Test
  void unknownRoutesAndMissingKeysAreRejected() throws IOException {
    assertThat(statusOf(fixture.request("nowhere", "n1"))).isEqualTo(404);
    String withoutKey =
        "GET /plain/x HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\nAttempt-Id: k1\r\n\r\n";
    assertThat(statusOf(fixture.sendRaw(withoutKey))).isEqualTo(401);
    assertThat(fixture.runsOf("k1")).isEmpty();
  }

  @Test
  void removedKeyIsRejected() throws Exception {
    ObjectNode changed = Rehearsal.configuration();
    ((ObjectNode) changed.path("tenants").path(0)).putArray("api_keys");
    fixture.store.write("config", "main", changed);
    fixture.awaitStatus("plain", 401);
  }

  @Test
  void requestsAreRejectedWhileTheConfigurationIsUnconfirmed() throws Exception {
    fixture.store.setUnavailable(true);
    fixture.awaitStatus("plain", 503);
    String response = fixture.request("plain", "o1");
    assertThat(response).contains("configuration-unconfirmed").contains("Retry-After");
    assertThat(fixture.runsOf("o1")).isEmpty();
    fixture.store.setUnavailable(false);
    fixture.awaitStatus("plain", 200);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 4\r\nTransfer-Encoding: chunked",
        "Content-Length: 4\r\nContent-Length: 5",
        "Content-Length : 4",
        "Content-Length: +4",
        "Transfer-Encoding: xchunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity",
        "Host: other"
      })
  void requestWithAmbiguousFramingIsRejected(String fields) throws IOException {
    String response =
        fixture.sendRaw(
            "POST /plain/x HTTP/1.1\r\nHost: 127.0.0.1\r\nAttempt-Id: m1\r\nCredential: key\r\n"
                + fields
                + "\r\n\r\n0\r\n\r\nPOST /plain/x HTTP/1.1\r\nHost: 127.0.0.1\r\n"
                + "Attempt-Id: smuggled\r\nCredential: key\r\nConnection: close\r\n\r\n");
    assertThat(statusOf(response)).isEqualTo(400);
    assertThat(fixture.runsOf("m1")).isEmpty();
    assertThat(fixture.runsOf("smuggled")).isEmpty();
  }

  @Test
  void chunkedRequestBodyIsAccepted() throws IOException {
    String response =
        fixture.sendRaw(
            "POST /plain/x HTTP/1.1\r\nHost: 127.0.0.1\r\nAttempt-Id: ch1\r\nCredential: key\r\n"
                + "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
                + "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n");
    assertThat(statusOf(response)).isEqualTo(200);
    assertThat(fixture.runsOf("ch1").get(0).body()).isEqualTo("body");
  }

  @Test
  void peersAreDiscoveredInTheStore() throws Exception {
    fixture.startGateway("gateway-2");
    assertThat(Polling.await(() -> fixture.gateway.peerCount() == 1, Duration.ofSeconds(20)))
        .isTrue();
  }

  @Test
  void streamFinishesWhileTheGatewayIsLeaving() throws Exception {
    StringBuilder response = new StringBuilder();
    Thread caller =
        new Thread(
            () -> {
              try {
                response.append(fixture.request("stream", "leave"));
              } catch (IOException e) {
                response.append(e);
              }
            });
    caller.start();
    Polling.await(() -> !fixture.runsOf("leave").isEmpty(), Duration.ofSeconds(20));
    assertThat(fixture.gateway.drain()).isTrue();
    caller.join();
    assertThat(response.toString()).contains("id: 8\n").endsWith("0\r\n\r\n");
  }

  /** Requests arrive until the listener closes; the last one may arrive at that moment. */
  @Test
  void everyAcceptedRequestGetsAResponseDuringShutdown() throws Exception {
    List<Integer> statuses = new CopyOnWriteArrayList<>();
    Thread callers =
        new Thread(
            () -> {
              do {
                statuses.add(statusOrZero("stop-%d.".formatted(statuses.size())));
              } while (statuses.get(statuses.size() - 1) != 0);
            });
    try (DecisionLogCapture decisions = new DecisionLogCapture()) {
      callers.setDaemon(true);
      callers.start();
      assertThat(fixture.gateway.drain()).isTrue();
      callers.join(TIMEOUT.toMillis());
      assertThat(callers.isAlive()).as("listener is still open").isFalse();
      int last = statuses.size() - 1;
      assertThat(statuses.subList(0, last)).contains(200).isSubsetOf(200, 503);
      // If the last request had been read, its rejection would be logged, as all rejections are.
      String lastId = "stop-%d.".formatted(last);
      assertThat(decisions.linesOf("rejected")).noneMatch(line -> line.contains(lastId));
      assertThat(fixture.runsOf(lastId)).isEmpty();
    }
  }

  /** Returns the status of the response, or 0 if there is none. */
  private int statusOrZero(String id) {
    try {
      return statusOf(fixture.request("plain", id));
    } catch (IOException e) {
      return 0;
    }
  }

  @Test
  void brokenStreamIsNotContinuedWithAPlainResponse() throws Exception {
    RunnerStandin second = fixture.addServer("runner-2");
    awaitUse(second);
    server().setBehaviour(Behaviour.TRUNCATES_RESPONSE);
    second.setBehaviour(Behaviour.RESPONDS_WITHOUT_STREAM);
    boolean wasResumed = false;
    // No fixed number of requests: runner-1 gets none while its latency estimate is high.
    long end = System.nanoTime() + TIMEOUT.toNanos();
    for (int i = 0; !wasResumed && System.nanoTime() < end; i++) {
      String response = fixture.request("stream", "j" + i);
      wasResumed = fixture.runsOf("j" + i).size() == 2;
      if (wasResumed) {
        assertThat(response).doesNotContain("answer of").doesNotEndWith("0\r\n\r\n");
      }
    }
    assertThat(wasResumed).isTrue();
  }

  /** Guards against free use of backend servers by callers that disconnect and send again. */
  @Test
  void requestThatRanCountsAgainstTheQuotaIfItsCallerDisconnected() throws Exception {
    ObjectNode limited = Rehearsal.configuration();
    ((ObjectNode) limited.path("tenants").path(0)).put("rate_per_s", 1).put("burst_size", 500);
    fixture.close();
    fixture = new GatewayFixture(1, limited);
    String probe = "GET /nowhere HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n\r\n";
    Polling.await(
        () -> {
          try {
            return statusOf(fixture.sendRaw(probe)) == 404;
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        },
        Duration.ofSeconds(20));
    server().setBehaviour(Behaviour.NEVER_RESPONDS);
    fixture.sendAndDisconnect("left");
    server().setBehaviour(Behaviour.NORMAL);
    assertThat(statusOf(fixture.request("plain", "q1"))).isEqualTo(200);
    assertThat(statusOf(fixture.request("plain", "q2"))).isEqualTo(429);
  }
}
