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

/** A gateway on sockets against stand-ins for the platform. */
class GatewayIT {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final int LEAVING_CALLERS = 100;

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

  private RunnerStandin runner() {
    return fixture.runners.get(0);
  }

  @Test
  void passesARequestOnUnchangedAndItsAnswerBack() throws IOException {
    String answer = fixture.call("plain", "a1", "X-Extra: 7", "Tenant: forged");
    assertThat(statusOf(answer)).isEqualTo(200);
    assertThat(answer).endsWith("answer of runner-1").contains("signed-by-runner-1");
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
  void streamsEveryEventOnce() throws IOException {
    String answer = fixture.call("stream", "s1");
    assertThat(statusOf(answer)).isEqualTo(200);
    for (int event = 1; event <= 8; event++) {
      assertThat(answer).containsOnlyOnce("id: " + event + "\n");
    }
    assertThat(answer).endsWith("0\r\n\r\n");
  }

  @Test
  void resumesABrokenStreamAtAnotherRunner() throws Exception {
    awaitRuns(fixture.addRunner("runner-2"));
    runner().behave(Behaviour.CUTS_ANSWER);
    int resumed = 0;
    for (int i = 0; i < 100 && resumed == 0; i++) {
      String answer = fixture.call("stream", "r" + i);
      for (int event = 1; event <= 8; event++) {
        assertThat(answer).containsOnlyOnce("id: " + event + "\n");
      }
      assertThat(answer).endsWith("0\r\n\r\n");
      resumed += fixture.runsOf("r" + i).size() == 2 ? 1 : 0;
    }
    assertThat(resumed).isPositive();
  }

  /** Waits until the gateway uses a runner. */
  private void awaitRuns(RunnerStandin other) throws InterruptedException {
    int[] calls = {0};
    boolean used =
        Polling.await(
            () -> {
              try {
                fixture.call("status", "warm-" + calls[0]++);
              } catch (IOException e) {
                throw new UncheckedIOException(e);
              }
              return !other.runs().isEmpty();
            },
            Duration.ofSeconds(20));
    assertThat(used).isTrue();
  }

  /** GONE: callers come and leave while the thread that accepts and reads is late. */
  @Test
  void sendsNothingForCallersThatLeftBeforeTheirConnectionsWereAccepted() throws Exception {
    runner().behave(Behaviour.RUNS_FOREVER);
    Socket open = fixture.send("keeps-open");
    assertThat(Polling.await(() -> !fixture.runsOf("keeps-open").isEmpty(), TIMEOUT)).isTrue();
    runner().behave(Behaviour.SOUND);
    CountDownLatch release = new CountDownLatch(1);
    CountDownLatch isHeld = new CountDownLatch(1);
    Thread holder = new Thread(() -> fixture.gateway.core().run(() -> hold(isHeld, release)));
    holder.start();
    isHeld.await();
    // The thread that reads waits for the held state in order to end this caller's request.
    open.close();
    assertThat(Polling.await(GatewayIT::isReadingThreadBlocked, TIMEOUT)).isTrue();
    for (int i = 0; i < LEAVING_CALLERS; i++) {
      fixture.send("left-" + i).close();
    }
    release.countDown();
    holder.join();
    fixture.awaitStatus("plain", 200);
    for (int i = 0; i < LEAVING_CALLERS; i++) {
      assertThat(fixture.runsOf("left-" + i)).isEmpty();
    }
  }

  private static void hold(CountDownLatch isHeld, CountDownLatch release) {
    isHeld.countDown();
    Uninterruptibles.awaitUninterruptibly(release);
  }

  private static boolean isReadingThreadBlocked() {
    return Thread.getAllStackTraces().keySet().stream()
        .filter(thread -> thread.getName().startsWith("callers(1)"))
        .anyMatch(thread -> thread.getState() == Thread.State.BLOCKED);
  }

  /** An answer of bytes without end must be cut off long before the request's deadline. */
  @Test
  void cutsOffAStreamThatSendsWithoutEnd() throws Exception {
    runner().behave(Behaviour.SENDS_WITHOUT_END);
    String answer = fixture.call("stream", "endless-1");
    assertThat(statusOf(answer)).isNotEqualTo(200);
    assertThat(runner().sentWithoutEnd()).isBetween(1L, 16L * 1024 * 1024);
    runner().behave(Behaviour.SOUND);
    assertThat(statusOf(fixture.call("plain", "after-endless"))).isEqualTo(200);
  }

  @Test
  void showsABrokenStreamAsIncompleteWhereNoOtherRunnerIsThere() throws IOException {
    runner().behave(Behaviour.CUTS_ANSWER);
    String answer = fixture.call("stream", "c1");
    assertThat(answer).doesNotEndWith("0\r\n\r\n").doesNotContain("id: 4\n");
  }

  @ParameterizedTest
  @EnumSource(
      value = Behaviour.class,
      names = {"LOSES_ANSWER", "CUTS_ANSWER", "ANSWERS_ANOTHER", "UNSIGNED"})
  void reportsARequestThatMayHaveRunAsUnknownAndNeverRepeatsIt(Behaviour behaviour)
      throws IOException {
    runner().behave(behaviour);
    String answer = fixture.call("plain", "u1");
    assertThat(statusOf(answer)).isEqualTo(502);
    assertThat(answer).doesNotContain("Response-Signature");
    assertThat(fixture.runsOf("u1")).hasSize(1);
  }

  @ParameterizedTest
  @EnumSource(
      value = Behaviour.class,
      names = {"LOSES_ANSWER", "CUTS_ANSWER", "ANSWERS_ANOTHER", "UNSIGNED", "FAILS"})
  void repeatsAnIdempotentRequestAtAnotherRunner(Behaviour behaviour) throws Exception {
    RunnerStandin second = fixture.addRunner("runner-2");
    awaitRuns(second);
    runner().behave(behaviour);
    for (int i = 0; i < 4; i++) {
      String answer = fixture.call("status", "i" + i);
      assertThat(statusOf(answer)).isEqualTo(200);
      assertThat(answer).endsWith("answer of runner-2");
    }
  }

  @Test
  void passesOnARunnersFailureUnchanged() throws IOException {
    runner().behave(Behaviour.FAILS);
    String answer = fixture.call("plain", "f1");
    assertThat(statusOf(answer)).isEqualTo(500);
    assertThat(answer).endsWith("failed").contains("signed-by-runner-1");
  }

  @Test
  void refusesTruthfullyWhatTheRunnerDeclined() throws IOException {
    runner().behave(Behaviour.DECLINES);
    String answer = fixture.call("plain", "d1");
    assertThat(statusOf(answer)).isEqualTo(503);
    assertThat(answer).contains("Retry-After: ");
    assertThat(fixture.runsOf("d1")).isEmpty();
  }

  @Test
  void doesNotLetAnotherRunnerAtTheSameAddressRunARequest() throws Exception {
    fixture.store.remove("servers", "runner-1");
    fixture.store.write("servers", "renamed", runner().entry("engines", "ready"));
    fixture.awaitStatus("plain", 503);
    assertThat(fixture.runsOf("wait-plain503-final")).isEmpty();
  }

  @Test
  void givesNoNewWorkToALeavingRunner() throws Exception {
    fixture.store.write("servers", "runner-1", runner().entry("engines", "draining"));
    fixture.awaitStatus("plain", 503);
    int before = runner().runs().size();
    assertThat(statusOf(fixture.call("plain", "l1"))).isEqualTo(503);
    assertThat(runner().runs()).hasSize(before);
  }

  @Test
  void refusesUnknownKeysAndRoutes() throws IOException {
    assertThat(statusOf(fixture.call("nowhere", "n1"))).isEqualTo(404);
    String withoutKey =
        "GET /plain/x HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\nAttempt-Id: k1\r\n\r\n";
    assertThat(statusOf(fixture.exchange(withoutKey))).isEqualTo(401);
    assertThat(fixture.runsOf("k1")).isEmpty();
  }

  @Test
  void acceptsNoKeyOnceItsRemovalIsInForce() throws Exception {
    ObjectNode changed = Rehearsal.configuration();
    ((ObjectNode) changed.path("tenants").path(0)).putArray("api_keys");
    fixture.store.write("config", "main", changed);
    fixture.awaitStatus("plain", 401);
  }

  @Test
  void acceptsNoKeyWhileTheConfigurationIsUnconfirmed() throws Exception {
    fixture.store.down(true);
    fixture.awaitStatus("plain", 503);
    String answer = fixture.call("plain", "o1");
    assertThat(answer).contains("configuration-unconfirmed").contains("Retry-After");
    assertThat(fixture.runsOf("o1")).isEmpty();
    fixture.store.down(false);
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
  void refusesRequestsWhoseFramingIsAmbiguous(String fields) throws IOException {
    String answer =
        fixture.exchange(
            "POST /plain/x HTTP/1.1\r\nHost: 127.0.0.1\r\nAttempt-Id: m1\r\nCredential: key\r\n"
                + fields
                + "\r\n\r\n0\r\n\r\nPOST /plain/x HTTP/1.1\r\nHost: 127.0.0.1\r\n"
                + "Attempt-Id: smuggled\r\nCredential: key\r\nConnection: close\r\n\r\n");
    assertThat(statusOf(answer)).isEqualTo(400);
    assertThat(fixture.runsOf("m1")).isEmpty();
    assertThat(fixture.runsOf("smuggled")).isEmpty();
  }

  @Test
  void takesBodiesInChunks() throws IOException {
    String answer =
        fixture.exchange(
            "POST /plain/x HTTP/1.1\r\nHost: 127.0.0.1\r\nAttempt-Id: ch1\r\nCredential: key\r\n"
                + "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
                + "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n");
    assertThat(statusOf(answer)).isEqualTo(200);
    assertThat(fixture.runsOf("ch1").get(0).body()).isEqualTo("body");
  }

  @Test
  void findsTheOtherGatewaysInTheStore() throws Exception {
    fixture.startGateway("gateway-2");
    assertThat(Polling.await(() -> fixture.gateway.peerCount() == 1, Duration.ofSeconds(20)))
        .isTrue();
  }

  @Test
  void finishesAStreamWhileItLeaves() throws Exception {
    StringBuilder answer = new StringBuilder();
    Thread caller =
        new Thread(
            () -> {
              try {
                answer.append(fixture.call("stream", "leave"));
              } catch (IOException e) {
                answer.append(e);
              }
            });
    caller.start();
    Polling.await(() -> !fixture.runsOf("leave").isEmpty(), Duration.ofSeconds(20));
    assertThat(fixture.gateway.drain()).isTrue();
    caller.join();
    assertThat(answer.toString()).contains("id: 8\n").endsWith("0\r\n\r\n");
  }

  /** Requests arrive until the process listens no more; the last one may cross that. */
  @Test
  void answersEveryRequestThatItTakesWhileItStops() throws Exception {
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
      assertThat(callers.isAlive()).as("the listener is open").isFalse();
      int last = statuses.size() - 1;
      assertThat(statuses.subList(0, last)).contains(200).isSubsetOf(200, 503);
      // What is read and not answered would have a line: those of refused requests always do.
      String crossing = "stop-%d.".formatted(last);
      assertThat(decisions.of("rejected")).noneMatch(line -> line.contains(crossing));
      assertThat(fixture.runsOf(crossing)).isEmpty();
    }
  }

  /** Returns the status of an answer, or zero where there is none. */
  private int statusOrZero(String id) {
    try {
      return statusOf(fixture.call("plain", id));
    } catch (IOException e) {
      return 0;
    }
  }

  @Test
  void doesNotJoinAnotherKindOfAnswerToABrokenStream() throws Exception {
    RunnerStandin second = fixture.addRunner("runner-2");
    awaitRuns(second);
    runner().behave(Behaviour.CUTS_ANSWER);
    second.behave(Behaviour.ANSWERS_PLAINLY);
    boolean resumed = false;
    for (int i = 0; i < 100 && !resumed; i++) {
      String answer = fixture.call("stream", "j" + i);
      resumed = fixture.runsOf("j" + i).size() == 2;
      if (resumed) {
        assertThat(answer).doesNotContain("answer of").doesNotEndWith("0\r\n\r\n");
      }
    }
    assertThat(resumed).isTrue();
  }

  /** One account's callers leave early and come again. */
  @Test
  void countsWhatRanForACallerThatLeftAgainstItsQuota() throws Exception {
    ObjectNode limited = Rehearsal.configuration();
    ((ObjectNode) limited.path("tenants").path(0)).put("rate_per_s", 1).put("burst_size", 500);
    fixture.close();
    fixture = new GatewayFixture(1, limited);
    String probe = "GET /nowhere HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n\r\n";
    Polling.await(
        () -> {
          try {
            return statusOf(fixture.exchange(probe)) == 404;
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        },
        Duration.ofSeconds(20));
    runner().behave(Behaviour.RUNS_FOREVER);
    fixture.sendAndLeave("left");
    runner().behave(Behaviour.SOUND);
    assertThat(statusOf(fixture.call("plain", "q1"))).isEqualTo(200);
    assertThat(statusOf(fixture.call("plain", "q2"))).isEqualTo(429);
  }
}
