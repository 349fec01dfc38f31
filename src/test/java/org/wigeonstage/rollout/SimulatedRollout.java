package org.wigeonstage.rollout;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.settings.RolloutSettings;

/** Gateways that roll out a version in virtual time, against a store and servers in memory. */
final class SimulatedRollout {

  static final RolloutSettings SETTINGS = new RolloutSettings(0.1, 50, 5000);

  private static final String POOL = "engines";
  private static final Duration TICK = Duration.ofMillis(20);
  private static final int TICKS_PER_EXCHANGE = 5;
  private static final Duration WRITE_TIME = Duration.ofMillis(60);
  private static final int MILLIS_PER_SECOND = 1000;

  /** The response to a request. */
  record Response(boolean isFailure, Duration duration) {}

  /** Determines the response of a server. */
  interface Behaviour {
    Response respond(BackendServer server, String route, int running, Duration now, Random random);
  }

  private record Event(Duration at, Runnable action) {}

  /** One gateway. */
  static final class Gateway {
    final VersionFilter filter = new VersionFilter();
    final RolloutParticipant participant = new RolloutParticipant(SETTINGS, filter);
    final Map<String, Integer> running = new HashMap<>();
    @Nullable RolloutDecider decider;
    boolean isAlive = true;
    boolean hearsPeers = true;
    boolean reachesStore = true;
  }

  final TreeMap<String, Gateway> gateways = new TreeMap<>();
  final List<BackendServer> servers = new ArrayList<>();
  final List<RolloutState> written = new ArrayList<>();
  final List<Duration> badAt = new ArrayList<>();
  final Random random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>((a, b) -> a.at().compareTo(b.at()));
  private final Behaviour behaviour;
  private final Map<String, Integer> runningByServer = new HashMap<>();
  @Nullable RolloutOrder stored;
  Duration now = Duration.ofSeconds(100);
  Duration orderedAt = Duration.ZERO;
  Duration endedAt = Duration.ZERO;
  Duration lastSentToTarget = Duration.ZERO;
  int requestsPerSecond = 600;
  boolean isStoreDown;
  int lostResponses;
  int arrivals;
  int sentToTarget;
  int unplaced;
  int runningAtOthersAtCompletion;
  private int ticks;

  SimulatedRollout(long seed, int gatewayCount, int serversPerVersion, Behaviour behaviour) {
    this.random = new Random(seed);
    this.behaviour = behaviour;
    for (int i = 0; i < gatewayCount; i++) {
      gateways.put("gateway-" + i, new Gateway());
    }
    addServers("v1", serversPerVersion);
    addServers("v2", serversPerVersion);
  }

  void addServers(String version, int count) {
    for (int i = 0; i < count; i++) {
      servers.add(
          new BackendServer(
              version + "-" + i, POOL, new Endpoint("10.0.0.1", 1), "fd", 9, false, 0, version));
    }
    gateways.values().forEach(gateway -> gateway.filter.applyServers(servers));
  }

  void order(String target, Duration duration) {
    long revision = stored == null ? 10 : stored.version().revision() + 1;
    stored = new RolloutOrder(POOL, POOL, target, duration, revision, RolloutState.REQUESTED);
    orderedAt = now;
    publish();
  }

  /** Delivers the stored order to the gateways that reach the store. */
  void publish() {
    RolloutOrder current = stored;
    if (current != null && !isStoreDown) {
      gateways.values().stream()
          .filter(gateway -> gateway.isAlive && gateway.reachesStore)
          .forEach(gateway -> gateway.participant.applyOrder(current, now));
    }
  }

  Duration sinceOrder() {
    return now.minus(orderedAt);
  }

  void runFor(Duration time) {
    Duration end = now.plus(time);
    while (now.compareTo(end) < 0) {
      tick();
    }
  }

  private void tick() {
    now = now.plus(TICK);
    while (!events.isEmpty() && events.peek().at().compareTo(now) <= 0) {
      events.poll().action().run();
    }
    gateways.values().forEach(gateway -> gateway.participant.update(1, now));
    double expected = requestsPerSecond * (double) TICK.toMillis() / MILLIS_PER_SECOND;
    int count = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
    for (int i = 0; i < count; i++) {
      send();
    }
    if (++ticks % TICKS_PER_EXCHANGE == 0) {
      exchange();
    }
  }

  private List<Gateway> alive() {
    return gateways.values().stream().filter(gateway -> gateway.isAlive).toList();
  }

  private void send() {
    Gateway gateway = alive().get(random.nextInt(alive().size()));
    arrivals++;
    gateway.filter.recordArrival();
    List<BackendServer> allowed = servers.stream().filter(gateway.filter::allows).toList();
    List<BackendServer> preferred = allowed.stream().filter(gateway.filter::prefers).toList();
    List<BackendServer> candidates = preferred.isEmpty() ? allowed : preferred;
    if (candidates.isEmpty()) {
      unplaced++;
      return;
    }
    BackendServer server = candidates.get(random.nextInt(candidates.size()));
    String route = random.nextInt(5) == 0 ? "small" : "large";
    gateway.filter.recordStart(server);
    RolloutOrder current = stored;
    if (current != null && server.version().equals(current.target())) {
      sentToTarget++;
      lastSentToTarget = now;
    }
    gateway.running.merge(server.id(), 1, Integer::sum);
    int load = runningByServer.merge(server.id(), 1, Integer::sum);
    Response response = behaviour.respond(server, route, load, sinceOrder(), random);
    events.add(
        new Event(now.plus(response.duration()), () -> end(gateway, server, route, response)));
  }

  private void end(Gateway gateway, BackendServer server, String route, Response response) {
    gateway.running.merge(server.id(), -1, Integer::sum);
    runningByServer.merge(server.id(), -1, Integer::sum);
    if (server.version().equals("v2") && response.isFailure()) {
      badAt.add(now);
    }
    gateway.participant.recordResponse(
        route, server, response.isFailure(), response.duration(), response.duration());
  }

  private void exchange() {
    Set<String> expected = new HashSet<>();
    gateways.forEach(
        (name, gateway) -> {
          if (gateway.isAlive) {
            expected.add(name);
          }
        });
    String elected =
        gateways.entrySet().stream()
            .filter(entry -> entry.getValue().isAlive && entry.getValue().hearsPeers)
            .findFirst()
            .orElseThrow()
            .getKey();
    gateways.forEach(
        (name, gateway) -> {
          if (!name.equals(elected)) {
            gateway.decider = null;
          }
        });
    decide(gateways.get(elected), expected);
  }

  private void decide(Gateway elected, Set<String> expected) {
    RolloutOrder known = elected.participant.order().orElse(null);
    if (known == null || !known.isOpen()) {
      return;
    }
    RolloutDecider current = elected.decider;
    boolean isNew = current == null || !current.order().hasSameTarget(known);
    if (isNew) {
      current =
          new RolloutDecider(known, SETTINGS.rollbackDelay(), elected.participant.startedAt());
      elected.decider = current;
    }
    RolloutDecider decider = Objects.requireNonNull(current);
    decider.applyOrder(known);
    gateways.forEach(
        (name, gateway) -> {
          if (gateway.isAlive && gateway.hearsPeers) {
            gateway
                .participant
                .report(gateway.running, isNew, now)
                .ifPresent(report -> decider.applyReport(name, report, now));
          }
        });
    RolloutDecision decision =
        decider.decide(expected, elected.filter.countServers(known.target()), now);
    Duration age = now.minus(elected.participant.startedAt());
    RolloutDirective directive = new RolloutDirective(known, decision.step(), age);
    alive().stream()
        .filter(gateway -> gateway.hearsPeers)
        .forEach(gateway -> gateway.participant.applyDirective(directive, now));
    decision
        .write()
        .ifPresent(
            state -> events.add(new Event(now.plus(WRITE_TIME), () -> write(decider, state))));
  }

  private void write(RolloutDecider decider, RolloutState state) {
    RolloutOrder current = stored;
    if (isStoreDown || current == null) {
      decider.writeFailed(now);
      return;
    }
    if (decider.order().version().equals(current.version())) {
      stored =
          new RolloutOrder(
              current.name(),
              current.pool(),
              current.target(),
              current.duration(),
              current.version().revision() + 1,
              state);
      written.add(state);
      if (state == RolloutState.COMPLETED || state == RolloutState.ROLLED_BACK) {
        endedAt = now;
        runningAtOthersAtCompletion =
            servers.stream()
                .filter(server -> !server.version().equals(current.target()))
                .mapToInt(server -> runningByServer.getOrDefault(server.id(), 0))
                .sum();
      }
    }
    if (lostResponses > 0) {
      lostResponses--;
      decider.writeFailed(now);
    } else {
      decider.writeEnded();
      publish();
    }
  }

  double maxSentToFaulty() {
    return SETTINGS.maxShare() * arrivals + SETTINGS.slack();
  }
}
