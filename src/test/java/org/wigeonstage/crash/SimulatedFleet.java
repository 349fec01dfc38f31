package org.wigeonstage.crash;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Simulates gateways and the servers of one pool in virtual time. Servers crash when they begin to
 * respond to a prompt with a crashing part; all requests on them are interrupted.
 */
final class SimulatedFleet {

  private static final String POOL = "pool";
  private static final int MAX_ATTEMPTS = 2;
  private static final long RESTART_MILLIS = 2500;
  private static final long MESSAGE_DELAY_MILLIS = 50;
  private static final long TICK_MILLIS = 20;
  private static final long START_MILLIS = 300;
  private static final long FULL_REPORT_MILLIS = 10_000;

  private final SplittableRandom random;
  private final List<Gateway> gateways = new ArrayList<>();
  private final List<Server> servers = new ArrayList<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Set<String> crashingParts = new HashSet<>();
  private long nowMillis;
  private long eventCount;
  private int runCount;

  /** The times of crashes by a part, and of arrivals at servers of requests with it. */
  private final Map<String, List<Long>> crashTimes = new HashMap<>();

  private final Map<String, List<Long>> arrivalTimes = new HashMap<>();

  /** The times at which sound requests were held, and at which they were sent to a server. */
  private final List<Long> heldTimes = new ArrayList<>();

  private final List<Long> sentTimes = new ArrayList<>();

  private record Event(long atMillis, long number, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atMillis, other.atMillis);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
    }
  }

  private static final class NoHoldListener implements HoldListener {
    @Override
    public void held(PartHold hold) {}

    @Override
    public void released(Set<String> parts) {}
  }

  /** A gateway with its own clock. */
  private final class Gateway {
    private PromptGuard guard = new PromptGuard(new NoHoldListener());
    private final long clockOffsetMillis = random.nextLong(1_000_000);
    private boolean isCut;
    private long startsUntilMillis;

    Duration now() {
      return Duration.ofMillis(nowMillis + clockOffsetMillis);
    }
  }

  private static final class Server {
    private String runId = "";
    private boolean isUp = true;
    private final Set<Attempt> attempts = new HashSet<>();
  }

  private static final class Request {
    private final int gateway;
    private final List<String> parts;
    private final boolean isSound;
    private int attemptCount;

    Request(int gateway, List<String> parts, boolean isSound) {
      this.gateway = gateway;
      this.parts = parts;
      this.isSound = isSound;
    }
  }

  private static final class Attempt {
    private final Request request;
    private final String runId;
    private final Duration sentAt;
    private final boolean isTrial;
    private boolean isAtBeginning = true;
    private boolean hasEnded;

    Attempt(Request request, String runId, Duration sentAt, boolean isTrial) {
      this.request = request;
      this.runId = runId;
      this.sentAt = sentAt;
      this.isTrial = isTrial;
    }
  }

  SimulatedFleet(int gatewayCount, int serverCount, long seed) {
    random = new SplittableRandom(seed);
    for (int i = 0; i < gatewayCount; i++) {
      gateways.add(new Gateway());
    }
    for (int i = 0; i < serverCount; i++) {
      Server server = new Server();
      server.runId = "run-" + runCount++;
      servers.add(server);
    }
    for (int i = 0; i < gatewayCount; i++) {
      gateways.get(i).guard.setOwnTurn(ownTurnOf(i));
    }
    every(TICK_MILLIS, this::exchangeReports);
    every(FULL_REPORT_MILLIS, this::exchangeFullReports);
  }

  private Predicate<String> ownTurnOf(int index) {
    return turn -> Math.floorMod(turn.hashCode(), gateways.size()) == index;
  }

  SplittableRandom random() {
    return random;
  }

  void at(Duration time, Runnable action) {
    events.add(new Event(time.toMillis(), eventCount++, action));
  }

  private void after(long millis, Runnable action) {
    at(Duration.ofMillis(nowMillis + millis), action);
  }

  private void every(long intervalMillis, Runnable action) {
    after(
        intervalMillis,
        () -> {
          action.run();
          every(intervalMillis, action);
        });
  }

  void run(Duration length) {
    while (!events.isEmpty() && events.peek().atMillis() <= length.toMillis()) {
      Event event = events.poll();
      nowMillis = event.atMillis();
      event.action().run();
    }
  }

  void addCrashingPart(String part) {
    crashingParts.add(part);
  }

  void removeCrashingPart(String part) {
    crashingParts.remove(part);
  }

  /** Sends requests at random times, at any gateway. */
  void sendRequests(double perSecond, Supplier<List<String>> parts) {
    long pause = (long) (-Math.log(1 - random.nextDouble()) * 1000 / perSecond);
    after(
        pause,
        () -> {
          List<String> promptParts = parts.get();
          boolean isSound = promptParts.stream().noneMatch(crashingParts::contains);
          place(new Request(random.nextInt(gateways.size()), promptParts, isSound));
          sendRequests(perSecond, parts);
        });
  }

  private void place(Request request) {
    Gateway gateway = gateways.get(request.gateway);
    if (nowMillis < gateway.startsUntilMillis) {
      return;
    }
    PromptAdmission admission = gateway.guard.decide(request.parts, POOL, gateway.now());
    if (admission.kind() == PromptAdmission.Kind.DEFERRED) {
      after(TICK_MILLIS, () -> place(request));
      return;
    }
    if (admission.kind() == PromptAdmission.Kind.HELD) {
      if (request.isSound) {
        heldTimes.add(nowMillis);
      }
      return;
    }
    List<Server> running = servers.stream().filter(server -> server.isUp).toList();
    if (running.isEmpty()) {
      after(100, () -> place(request));
      return;
    }
    if (request.isSound) {
      sentTimes.add(nowMillis);
    }
    Server server = running.get(random.nextInt(running.size()));
    boolean isTrial = admission.kind() == PromptAdmission.Kind.TRIAL;
    Attempt attempt = new Attempt(request, server.runId, gateway.now(), isTrial);
    request.attemptCount++;
    server.attempts.add(attempt);
    guiltyParts(request).forEach(part -> record(arrivalTimes, part));
    after(20 + random.nextLong(100), () -> begin(server, attempt));
  }

  private List<String> guiltyParts(Request request) {
    return request.parts.stream().filter(crashingParts::contains).toList();
  }

  private void record(Map<String, List<Long>> times, String part) {
    times.computeIfAbsent(part, key -> new ArrayList<>()).add(nowMillis);
  }

  private void begin(Server server, Attempt attempt) {
    if (attempt.hasEnded) {
      return;
    }
    List<String> guilty = guiltyParts(attempt.request);
    if (!guilty.isEmpty()) {
      guilty.forEach(part -> record(crashTimes, part));
      crash(server);
      return;
    }
    after(
        60,
        () -> {
          if (!attempt.hasEnded) {
            attempt.isAtBeginning = false;
            recordResponse(attempt);
          }
        });
    after(
        200 + random.nextLong(3000),
        () -> {
          if (!attempt.hasEnded) {
            attempt.hasEnded = true;
            server.attempts.remove(attempt);
            recordResponse(attempt);
          }
        });
  }

  private void recordResponse(Attempt attempt) {
    Gateway gateway = gateways.get(attempt.request.gateway);
    gateway.guard.recordSignOfLife(attempt.runId, attempt.sentAt, gateway.now());
    gateway.guard.recordResponse(attempt.request.parts, POOL, gateway.now());
  }

  private void crash(Server server) {
    server.isUp = false;
    List.copyOf(server.attempts).forEach(attempt -> lose(server, attempt));
    after(
        RESTART_MILLIS,
        () -> {
          server.isUp = true;
          server.runId = "run-" + runCount++;
        });
  }

  /** Interrupts an attempt; its gateway reads that within some milliseconds. */
  private void lose(Server server, Attempt attempt) {
    server.attempts.remove(attempt);
    attempt.hasEnded = true;
    after(
        1 + random.nextLong(30),
        () -> {
          Gateway gateway = gateways.get(attempt.request.gateway);
          if (attempt.isAtBeginning) {
            gateway.guard.recordLoss(
                attempt.runId, POOL, attempt.request.parts, attempt.isTrial, gateway.now());
          }
          if (attempt.request.attemptCount < MAX_ATTEMPTS) {
            place(attempt.request);
          }
        });
  }

  /** Crashes a share of the servers at once, whatever they run. */
  void crashServers(double share) {
    for (Server server : servers) {
      if (server.isUp && random.nextDouble() < share) {
        crash(server);
      }
    }
  }

  /** Resets a share of the connections to servers that go on running. */
  void resetConnections(double share) {
    for (Server server : servers) {
      for (Attempt attempt : List.copyOf(server.attempts)) {
        if (random.nextDouble() < share) {
          lose(server, attempt);
        }
      }
    }
  }

  /** Replaces a gateway by one that knows nothing until its peers have connected. */
  void restartGateway(int index) {
    Gateway gateway = gateways.get(index);
    gateway.guard = new PromptGuard(new NoHoldListener());
    gateway.guard.setOwnTurn(ownTurnOf(index));
    gateway.startsUntilMillis = nowMillis + START_MILLIS;
    gateways.forEach(peer -> deliver(peer, gateway, peer.guard.fullReports(peer.now())));
  }

  /** Cuts a gateway off from its peers, or ends the cut. */
  void setCut(int index, boolean isCut) {
    Gateway gateway = gateways.get(index);
    gateway.isCut = isCut;
    for (Gateway peer : gateways) {
      deliver(peer, gateway, peer.guard.fullReports(peer.now()));
      deliver(gateway, peer, gateway.guard.fullReports(gateway.now()));
    }
  }

  private void exchangeReports() {
    for (Gateway gateway : gateways) {
      gateway.guard.tick(gateway.now());
      List<CrashReport> changes = gateway.guard.takeOwnChanges(gateway.now());
      gateways.forEach(peer -> deliver(gateway, peer, changes));
    }
  }

  private void exchangeFullReports() {
    for (Gateway gateway : gateways) {
      List<CrashReport> reports = gateway.guard.fullReports(gateway.now());
      gateways.forEach(peer -> deliver(gateway, peer, reports));
    }
  }

  private void deliver(Gateway from, Gateway to, List<CrashReport> reports) {
    if (from != to && !reports.isEmpty() && !from.isCut && !to.isCut) {
      after(MESSAGE_DELAY_MILLIS, () -> to.guard.applyReports(reports, to.now()));
    }
  }

  /** Returns how many requests with a part reached servers later than a time after a crash. */
  long arrivalsAfter(String part, int crashNumber, Duration delay) {
    List<Long> crashes = crashTimes.getOrDefault(part, List.of());
    if (crashes.size() < crashNumber) {
      return 0;
    }
    long from = crashes.get(crashNumber - 1) + delay.toMillis();
    return arrivalTimes.getOrDefault(part, List.of()).stream().filter(time -> time > from).count();
  }

  int crashCount(String part) {
    return crashTimes.getOrDefault(part, List.of()).size();
  }

  /** Returns the share of the sound requests that were held in a period. */
  double heldShare(Duration from, Duration to) {
    long held = countBetween(heldTimes, from, to);
    long sent = countBetween(sentTimes, from, to);
    return held + sent == 0 ? 0 : (double) held / (held + sent);
  }

  private static long countBetween(List<Long> times, Duration from, Duration to) {
    return times.stream().filter(time -> time >= from.toMillis() && time < to.toMillis()).count();
  }
}
