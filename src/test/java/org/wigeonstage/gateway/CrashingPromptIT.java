package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeonstage.common.Polling;
import org.wigeonstage.platform.standin.RunnerStandin;

/**
 * Tests requests whose prompts have a part that crashes each backend server which begins to respond
 * to it, beside sound requests that share their other parts.
 */
class CrashingPromptIT {

  private static final int SERVERS = 8;
  private static final Duration RESTART_TIME = Duration.ofMillis(1300);

  /** How long after the fifth crash the requests may still reach servers. */
  private static final Duration CONTACT_TIME = Duration.ofSeconds(3);

  private static final int CRASHES_TO_LEARN = 5;
  private static final int MAX_LATER_ARRIVALS = 3;
  private static final Duration INTERVAL = Duration.ofMillis(200);
  private static final int SOUND_REQUESTS_PER_INTERVAL = 4;
  private static final Duration LENGTH = Duration.ofSeconds(9);
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  /** The number of parts that fit into the head of a request. */
  private static final int SHARED_PARTS = 1150;

  /** The number of crashes after which a part can be held. */
  private static final int HOLD_AFTER = 3;

  /**
   * The deadline of a request, and the half of a second in which its final response must follow.
   */
  private static final Duration MAX_TIME = Duration.ofMillis(1500);

  private final ExecutorService callers = Executors.newCachedThreadPool();
  private final List<GatewayProcess> gateways = new ArrayList<>();
  private final List<Instant> crashTimes = new CopyOnWriteArrayList<>();
  private final Map<String, RunnerStandin> runningServers = new TreeMap<>();
  private final Map<String, Instant> restartTimes = new TreeMap<>();
  private final Map<Instant, Integer> soundStatuses = new ConcurrentHashMap<>();
  private GatewayFixture fixture;
  private String crashingPart = "";
  private int serverCount;
  private int requestCount;

  private void start(int gatewayCount, String part) throws Exception {
    crashingPart = part;
    fixture = new GatewayFixture(0);
    gateways.add(fixture.gateway);
    for (int i = 2; i <= gatewayCount; i++) {
      gateways.add(fixture.startGateway("gateway-" + i));
    }
    for (int i = 0; i < SERVERS; i++) {
      startServer();
    }
    fixture.awaitStatus("status", 200);
    for (GatewayProcess gateway : gateways) {
      assertThat(Polling.await(() -> gateway.peerCount() == gatewayCount - 1, TIMEOUT)).isTrue();
    }
  }

  private void startServer() {
    String id = "server-" + serverCount++;
    RunnerStandin server = fixture.addServer(id);
    server.setCrashingPart(crashingPart);
    runningServers.put(id, server);
  }

  @AfterEach
  void stop() throws IOException {
    callers.shutdownNow();
    fixture.close();
  }

  /** Removes the entries of crashed servers, and starts others, after some time. */
  private void superviseServers() {
    Instant now = Instant.now();
    runningServers.forEach(
        (id, server) -> {
          if (server.hasCrashed() && restartTimes.putIfAbsent(id, now) == null) {
            crashTimes.add(now);
          }
        });
    for (Map.Entry<String, Instant> entry : Map.copyOf(restartTimes).entrySet()) {
      if (runningServers.containsKey(entry.getKey())
          && now.isAfter(entry.getValue().plus(RESTART_TIME))) {
        runningServers.remove(entry.getKey());
        fixture.store.remove("servers", entry.getKey());
        startServer();
      }
    }
  }

  private void send(String route, String parts, boolean isSound) {
    GatewayProcess gateway = gateways.get(requestCount % gateways.size());
    String id = (isSound ? "sound-" : "crashing-") + requestCount++;
    String fields =
        "Deadline-Ms: 2500\r\nConnection: close\r\nPrompt-Prefix: %s,%s:5\r\n%s"
            .formatted(parts, id, route.equals("stream") ? "Token-Count: 10,20\r\n" : "");
    callers.execute(
        () -> {
          Instant sentAt = Instant.now();
          try (Socket socket = GatewayFixture.send(gateway, route, id, fields)) {
            String response = GatewayFixture.readResponse(socket);
            if (isSound) {
              soundStatuses.put(sentAt, GatewayFixture.statusOf(response));
            }
          } catch (IOException e) {
            throw new IllegalStateException(e);
          }
        });
  }

  /** Returns how often requests with the crashing part have reached servers since. */
  private long crashingRunsSince(Map<String, Integer> runsBefore) {
    return crashingRuns().entrySet().stream()
        .mapToLong(entry -> entry.getValue() - runsBefore.getOrDefault(entry.getKey(), 0))
        .sum();
  }

  private Map<String, Integer> crashingRuns() {
    Map<String, Integer> runs = new TreeMap<>();
    for (RunnerStandin server : fixture.servers) {
      server.runs().stream()
          .filter(run -> run.attemptId().startsWith("crashing-"))
          .forEach(run -> runs.merge(run.attemptId(), 1, Integer::sum));
    }
    return runs;
  }

  /** Sends requests at a constant rate; returns how often crashing ones reached servers late. */
  private long playRequests(String route, String crashingParts, String soundParts)
      throws InterruptedException {
    Instant end = Instant.now().plus(LENGTH);
    Map<String, Integer> runsAtBound = Map.of();
    boolean isBoundPassed = false;
    while (Instant.now().isBefore(end)) {
      send(route, crashingParts, false);
      for (int i = 0; i < SOUND_REQUESTS_PER_INTERVAL; i++) {
        send(route, soundParts, true);
      }
      Thread.sleep(INTERVAL.toMillis());
      superviseServers();
      if (!isBoundPassed
          && crashTimes.size() >= CRASHES_TO_LEARN
          && Instant.now().isAfter(crashTimes.get(CRASHES_TO_LEARN - 1).plus(CONTACT_TIME))) {
        isBoundPassed = true;
        runsAtBound = crashingRuns();
      }
    }
    return isBoundPassed ? crashingRunsSince(runsAtBound) : 0;
  }

  private void assertLastSoundRequestsAreServed() throws InterruptedException {
    Thread.sleep(RESTART_TIME.toMillis());
    Instant from = Instant.now().minus(LENGTH.dividedBy(3));
    List<Integer> statuses =
        soundStatuses.entrySet().stream()
            .filter(entry -> entry.getKey().isAfter(from))
            .map(Map.Entry::getValue)
            .toList();
    assertThat(statuses).isNotEmpty().containsOnly(200);
  }

  @ParameterizedTest
  @CsvSource({"status, 1", "stream, 3", "plain, 2"})
  void requestsWithAPartThatCrashesServersStopReachingThem(String route, int gatewayCount)
      throws Exception {
    start(gatewayCount, "bad");
    long laterArrivals = playRequests(route, "first:60,bad:400,third:30", "first:60,third:30");
    assertThat(laterArrivals).isLessThanOrEqualTo(MAX_LATER_ARRIVALS);
    assertLastSoundRequestsAreServed();
  }

  @Test
  void requestsStopReachingServersIfTheirFirstPartCrashesThem() throws Exception {
    start(2, "bad");
    long laterArrivals = playRequests("stream", "bad:60,second:30", "first:60,second:30");
    assertThat(laterArrivals).isLessThanOrEqualTo(MAX_LATER_ARRIVALS);
    assertLastSoundRequestsAreServed();
  }

  @Test
  void gatewayThatStartsLaterLearnsFromItsPeersWhatIsHeld() throws Exception {
    start(2, "bad");
    playRequests("stream", "first:60,bad:400", "first:60,third:30");
    gateways.clear();
    gateways.add(fixture.startGateway("gateway-new"));
    assertThat(Polling.await(() -> gateways.get(0).peerCount() == 2, TIMEOUT)).isTrue();
    Thread.sleep(INTERVAL.toMillis());
    int crashesBefore = crashTimes.size();
    Map<String, Integer> runsBefore = crashingRuns();
    for (int i = 0; i < CRASHES_TO_LEARN; i++) {
      send("stream", "first:60,bad:400", false);
      Thread.sleep(INTERVAL.toMillis());
      superviseServers();
    }
    assertThat(crashingRunsSince(runsBefore)).isLessThanOrEqualTo(1); // a trial may be due
    assertThat(crashTimes).hasSizeLessThanOrEqualTo(crashesBefore + 1);
  }

  /** Guards against a gateway that responds to nobody while it searches long prompts. */
  @Test
  void requestsAreAnsweredWhilePromptsWithManySharedPartsCrashServers() throws Exception {
    start(2, "p0");
    String document =
        IntStream.range(0, SHARED_PARTS)
            .mapToObj(i -> "p" + Integer.toString(i, Character.MAX_RADIX) + ":1")
            .collect(Collectors.joining(","));
    List<Duration> durations = new CopyOnWriteArrayList<>();
    for (int i = 0; i < 100; i++) {
      if (i % 10 == 0) {
        send("stream", document, false);
      }
      String id = "short-" + i;
      GatewayProcess gateway = gateways.get(i % gateways.size());
      callers.execute(() -> durations.add(timeOf(gateway, id)));
      Thread.sleep(INTERVAL.toMillis() / 4);
      superviseServers();
    }
    callers.shutdown();
    assertThat(callers.awaitTermination(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)).isTrue();
    assertThat(crashTimes).hasSizeGreaterThanOrEqualTo(HOLD_AFTER);
    assertThat(durations).hasSize(100).allMatch(duration -> duration.compareTo(MAX_TIME) < 0);
  }

  /** Returns how long a request with a deadline of one second takes, whatever its response is. */
  private static Duration timeOf(GatewayProcess gateway, String id) {
    Instant sentAt = Instant.now();
    try (Socket socket =
        GatewayFixture.send(gateway, "status", id, "Deadline-Ms: 1000\r\nConnection: close\r\n")) {
      GatewayFixture.readResponse(socket);
      return Duration.between(sentAt, Instant.now());
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  @Test
  void operatorsHoldAndReleasePartsWithoutARestart() throws Exception {
    start(1, "");
    fixture.reload(settings -> settings.putArray("heldPromptParts").add("banned"));
    String held = fixture.request("stream", "held", "Prompt-Prefix: first:60,banned:4,own:5");
    assertThat(GatewayFixture.statusOf(held)).isEqualTo(503);
    assertThat(held).contains("prompt-held", "Retry-After");
    assertThat(fixture.runsOf("held")).isEmpty();
    String other = fixture.request("stream", "other", "Prompt-Prefix: first:60,banned:4");
    assertThat(GatewayFixture.statusOf(other)).isEqualTo(200);
    fixture.reload(settings -> settings.putArray("heldPromptParts"));
    String released = fixture.request("stream", "free", "Prompt-Prefix: first:60,banned:4,own:5");
    assertThat(GatewayFixture.statusOf(released)).isEqualTo(200);
  }
}
