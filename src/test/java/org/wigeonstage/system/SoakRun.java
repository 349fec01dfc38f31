package org.wigeonstage.system;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.io.Closer;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.platform.standin.Rehearsal;
import org.wigeonstage.platform.standin.StoreStandin;
import org.wigeonstage.system.SoakOracle.Stop;
import org.wigeonstage.system.SoakOracle.Violation;

/** Carries a plan out with gateways as processes, and reports what its oracle finds. */
final class SoakRun implements Closeable {

  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final int CALLER_TIMEOUT_MILLIS = 20_000;

  /** Callers leave sooner where connections may be silenced. */
  private static final int IMPATIENT_MILLIS = 4_000;

  /** The longest streams, at the slow server, take 18 seconds. */
  private static final int ROUTE_TIMEOUT_MILLIS = 30_000;

  /** The length of a long stream at a fast server, in graces. */
  private static final double OUTLASTING = 1.5;

  private static final int LONG_STREAM_GAP_MILLIS = 20;
  private static final long DELAY_MILLIS = 100;
  private static final long RESTART_MILLIS = 100;

  private final Closer closer = Closer.create();
  private final SoakClock clock = new SoakClock();
  private final SoakPlan plan;
  private final Path directory;
  private final StoreStandin store;
  private final List<Member> members = new ArrayList<>();
  private final List<SoakServer> servers = new ArrayList<>();
  private final List<Relay> serverRelays = new ArrayList<>();
  private final Queue<Stop> stops = new ConcurrentLinkedQueue<>();
  private final Queue<Violation> violations = new ConcurrentLinkedQueue<>();
  private final ExecutorService tasks = Executors.newCachedThreadPool();
  private final List<Future<?>> pending = new ArrayList<>();
  private int version = 1;

  /** A task of an event. */
  @FunctionalInterface
  private interface Task {
    void run() throws IOException, InterruptedException;
  }

  /**
   * A gateway and the relay that its callers use.
   *
   * @param gateway the gateway
   * @param relay the relay
   * @param isRestarting from the signal to stop until it serves again
   * @param isStarting from its start until it serves; signals end a process that is not set up yet
   */
  private record Member(
      GatewayHandle gateway, Relay relay, AtomicBoolean isRestarting, AtomicBoolean isStarting) {}

  SoakRun(SoakPlan plan, Path directory) throws IOException {
    this.plan = plan;
    this.directory = Files.createDirectories(directory);
    this.store = closer.register(StoreStandin.start(new Endpoint("127.0.0.1", 0)));
    writeConfiguration();
    for (int i = 1; i <= plan.servers(); i++) {
      // The last one is slower than the others.
      SoakServer server = new SoakServer("server-" + i, i == plan.servers() ? 2 : 1, clock);
      servers.add(closer.register(server));
      Relay relay = closer.register(new Relay(server.endpoint()));
      serverRelays.add(relay);
      if (plan.hasFaults()) {
        server.advertise(relay.endpoint());
      }
      store.write("servers", server.id(), server.entry("ready"));
    }
    for (int i = 1; i <= plan.gateways(); i++) {
      GatewayHandle gateway = new GatewayHandle("gateway-" + i, directory, store.endpoint());
      gateway.set("graceSeconds", plan.graceSeconds());
      gateway.set("logOneIn", 1);
      gateway.set("quotaWindowSeconds", 1);
      closer.register(gateway);
      Relay relay = closer.register(new Relay(gateway.callers()));
      members.add(new Member(gateway, relay, new AtomicBoolean(), new AtomicBoolean()));
    }
  }

  private synchronized void writeConfiguration() {
    ObjectNode configuration = Rehearsal.configuration().put("version", version);
    configuration
        .withArray("routes")
        .forEach(route -> ((ObjectNode) route).put("timeout_ms", ROUTE_TIMEOUT_MILLIS + version));
    store.write("config", "main", configuration);
    version++;
  }

  /** Runs the plan; returns the promises that were broken. */
  List<Violation> run() throws Exception {
    for (Member member : members) {
      start(member);
    }
    for (Member member : members) {
      awaitAnswer(member.gateway());
    }
    List<SoakCaller> callers = new ArrayList<>();
    for (int i = 0; i < plan.callers(); i++) {
      callers.add(caller(i));
    }
    callers.forEach(SoakCaller::start);
    carryOut();
    callers.forEach(SoakCaller::stop);
    List<SoakCall> calls = new ArrayList<>();
    for (SoakCaller caller : callers) {
      calls.addAll(caller.finish(TIMEOUT.toMillis()));
    }
    return judge(calls);
  }

  private void start(Member member) throws IOException {
    member.gateway().start();
    if (plan.isOnSlowHosts()) {
      member.gateway().throttle();
    }
  }

  private SoakCaller caller(int index) {
    List<GatewayHandle> gateways = members.stream().map(Member::gateway).toList();
    SoakCaller caller =
        new SoakCaller(
            "caller-" + index,
            plan.randomOf(index),
            gateways,
            gateway ->
                plan.hasFaults()
                    ? members.get(gateways.indexOf(gateway)).relay().endpoint()
                    : gateway.callers(),
            plan.hasFaults() ? IMPATIENT_MILLIS : CALLER_TIMEOUT_MILLIS,
            clock);
    if (index < plan.longStreams()) {
      int events = (int) (plan.graceSeconds() * OUTLASTING * 1000 / LONG_STREAM_GAP_MILLIS);
      caller.beginWith(SoakWork.stream(events, LONG_STREAM_GAP_MILLIS));
    }
    return caller;
  }

  private void awaitAnswer(GatewayHandle gateway) {
    int[] count = {0};
    Fleet.await(
        () -> {
          SoakCall call =
              new SoakCall(
                  gateway.name() + "." + count[0]++, gateway.name(), "", 1, SoakWork.plain(0, 10));
          try (SoakConnection connection =
              new SoakConnection(gateway.callers(), false, CALLER_TIMEOUT_MILLIS, clock)) {
            connection.exchange(call);
          } catch (IOException e) {
            return false;
          }
          return call.isSuccess();
        },
        "an answer of " + gateway.name());
  }

  private void carryOut() throws InterruptedException, ExecutionException {
    long start = clock.millis();
    for (SoakPlan.Event event : plan.events()) {
      Fleet.sleep(Math.max(0, start + event.at() - clock.millis()));
      begin(event);
    }
    for (Future<?> task : pending) {
      task.get();
    }
    for (Member member : members) {
      if (!member.gateway().current().isAlive()) {
        violations.add(new Violation("ENDED BY ITSELF", member.gateway().name()));
      }
    }
  }

  private void begin(SoakPlan.Event event) {
    switch (event.action()) {
      case LEAVE -> submit(() -> leave(members.get(event.target())));
      case HANGUP -> submit(() -> hangUp(members.get(event.target())));
      case KILL -> submit(() -> kill(members.get(event.target())));
      case PAUSE -> submit(() -> pause(members.get(event.target()).gateway(), event.millis()));
      case CONFIGURE -> writeConfiguration();
      case DRAIN_SERVER -> submit(() -> drain(servers.get(event.target()), event.millis()));
      case STORE_DOWN -> submit(() -> stopStore(event.millis()));
      case STORE_FORGETS -> {
        store.cutWatches();
        store.forgetHistory();
      }
      case RESET_CALLERS -> members.get(event.target()).relay().resetAll();
      case RESET_SERVER -> serverRelays.get(event.target()).resetAll();
      case SILENCE_SERVER -> serverRelays.get(event.target()).loseTrack();
      case DELAY_SERVER -> submit(() -> delay(serverRelays.get(event.target()), event.millis()));
      default -> throw new IllegalStateException(event.toString());
    }
  }

  private void submit(Task task) {
    pending.add(
        tasks.submit(
            () -> {
              task.run();
              return null;
            }));
  }

  private void leave(Member member) throws IOException, InterruptedException {
    GatewayHandle gateway = member.gateway();
    if (!member.isRestarting().compareAndSet(false, true)) {
      if (!member.isStarting().get()) {
        GatewayHandle.signal(gateway.current(), "TERM");
      }
      return;
    }
    gateway.signal("TERM");
    long signalledAt = clock.millis();
    boolean ended = gateway.awaitEnd(Duration.ofSeconds(plan.graceSeconds()));
    if (!ended) {
      gateway.kill();
    }
    stops.add(new Stop(gateway.name(), signalledAt, clock.millis(), !ended));
    restart(member);
  }

  private void kill(Member member) throws IOException, InterruptedException {
    boolean isOurs = member.isRestarting().compareAndSet(false, true);
    if (!member.isStarting().get()) {
      member.gateway().kill();
    }
    if (isOurs) {
      restart(member);
    }
  }

  private void restart(Member member) throws IOException, InterruptedException {
    member.isStarting().set(true);
    Thread.sleep(RESTART_MILLIS);
    start(member);
    awaitAnswer(member.gateway());
    member.isStarting().set(false);
    member.isRestarting().set(false);
  }

  private static void hangUp(Member member) throws IOException, InterruptedException {
    member.gateway().touchSettings();
    if (!member.isStarting().get()) {
      GatewayHandle.signal(member.gateway().current(), "HUP");
    }
  }

  private static void pause(GatewayHandle gateway, long millis)
      throws IOException, InterruptedException {
    Process process = gateway.current();
    GatewayHandle.signal(process, "STOP");
    Thread.sleep(millis);
    GatewayHandle.signal(process, "CONT");
  }

  private void drain(SoakServer server, long millis) throws InterruptedException {
    store.write("servers", server.id(), server.entry("draining"));
    Thread.sleep(millis);
    store.write("servers", server.id(), server.entry("ready"));
  }

  private void stopStore(long millis) throws InterruptedException {
    store.down(true);
    Thread.sleep(millis);
    store.down(false);
  }

  private static void delay(Relay relay, long millis) throws InterruptedException {
    relay.delay(DELAY_MILLIS);
    Thread.sleep(millis);
    relay.delay(0);
  }

  private List<Violation> judge(List<SoakCall> calls) throws IOException {
    List<SoakServer.Run> runs = servers.stream().flatMap(server -> server.runs().stream()).toList();
    violations.addAll(new SoakOracle(plan, runs, List.copyOf(stops)).judge(calls));
    long served = calls.stream().filter(SoakCall::isSuccess).count();
    if (served < plan.callers()) {
      violations.add(new Violation("NOT SERVED", served + " of " + calls.size()));
    }
    String summary =
        "%s%n%d calls, %d served; ends %s; statuses %s; %s%n%s"
            .formatted(
                plan,
                calls.size(),
                served,
                calls.stream()
                    .collect(Collectors.groupingBy(call -> call.end, Collectors.counting())),
                calls.stream()
                    .collect(Collectors.groupingBy(call -> call.status, Collectors.counting())),
                List.copyOf(stops),
                violations.stream().map(Violation::toString).collect(Collectors.joining("\n")));
    Files.writeString(directory.resolve("report.txt"), summary);
    return List.copyOf(violations);
  }

  @Override
  public void close() throws IOException {
    tasks.shutdownNow();
    closer.close();
  }
}
