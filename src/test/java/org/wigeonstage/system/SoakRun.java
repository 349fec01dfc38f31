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
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
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
import org.wigeonstage.system.SoakOracle.GatewayShutdown;
import org.wigeonstage.system.SoakOracle.Violation;

/** Runs a plan with gateways as processes and reports the violations that the oracle finds. */
final class SoakRun implements Closeable {

  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final int CALLER_TIMEOUT_MILLIS = 20_000;

  /** Shorter timeout for plans with faults, whose connections may discard all traffic. */
  private static final int CALLER_TIMEOUT_WITH_FAULTS_MILLIS = 4_000;

  /**
   * Must exceed the longest streams at the slow server, which take 18 s, or 24 s in plans for slow
   * hosts.
   */
  private static final int ROUTE_TIMEOUT_MILLIS = 30_000;

  /** Duration of a long stream at a server of normal speed, as a multiple of the grace period. */
  private static final double LONG_STREAM_GRACE_FACTOR = 1.5;

  private static final int LONG_STREAM_GAP_MILLIS = 20;
  private static final long SERVER_DELAY_MILLIS = 100;

  /** How long the operator, and then the servers, need to write again after a restore. */
  private static final long OPERATOR_DELAY_MILLIS = 300;

  private static final long SERVER_DELAY_AFTER_OPERATOR_MILLIS = 900;
  private static final long RESTART_DELAY_MILLIS = 100;

  private final Closer closer = Closer.create();
  private final SoakClock clock = new SoakClock();
  private final SoakPlan plan;
  private final Path directory;
  private final StoreStandin store;
  private final List<GatewayMember> members = new ArrayList<>();
  private final List<SoakServer> servers = new ArrayList<>();
  private final List<FaultInjectingProxy> serverProxies = new ArrayList<>();
  private final Queue<GatewayShutdown> shutdowns = new ConcurrentLinkedQueue<>();
  private final Queue<Violation> violations = new ConcurrentLinkedQueue<>();
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final List<Future<?>> runningTasks = new ArrayList<>();
  private final Map<String, ObjectNode> registrations = new ConcurrentHashMap<>();
  private int configurationVersion = 1;

  /** The part of an event that runs in the background. */
  @FunctionalInterface
  private interface Task {
    void run() throws IOException, InterruptedException;
  }

  /**
   * A gateway and the proxy in front of it.
   *
   * @param gateway the gateway process
   * @param proxy the proxy that callers use in plans with faults
   * @param isRestarting set from the stop signal until the gateway serves requests again
   * @param isStarting set while the gateway starts; no signals are sent then, because they would
   *     terminate a process that has not installed its handlers yet
   */
  private record GatewayMember(
      RestartableGateway gateway,
      FaultInjectingProxy proxy,
      AtomicBoolean isRestarting,
      AtomicBoolean isStarting) {}

  SoakRun(SoakPlan plan, Path directory) throws IOException {
    this.plan = plan;
    this.directory = Files.createDirectories(directory);
    this.store = closer.register(StoreStandin.start(new Endpoint("127.0.0.1", 0)));
    writeConfiguration();
    for (int i = 1; i <= plan.servers(); i++) {
      // The last server is slower than the others.
      SoakServer server = new SoakServer("server-" + i, i == plan.servers() ? 2 : 1, clock);
      servers.add(closer.register(server));
      FaultInjectingProxy proxy = closer.register(new FaultInjectingProxy(server.endpoint()));
      serverProxies.add(proxy);
      if (plan.hasFaults()) {
        server.advertise(proxy.endpoint());
      }
      register(server, "ready");
    }
    for (int i = 1; i <= plan.gateways(); i++) {
      RestartableGateway gateway =
          new RestartableGateway("gateway-" + i, directory, store.endpoint());
      gateway.changeSetting("graceSeconds", plan.graceSeconds());
      gateway.changeSetting("logOneIn", 1);
      gateway.changeSetting("quotaWindowSeconds", 1);
      closer.register(gateway);
      FaultInjectingProxy proxy =
          closer.register(new FaultInjectingProxy(gateway.callerEndpoint()));
      members.add(new GatewayMember(gateway, proxy, new AtomicBoolean(), new AtomicBoolean()));
    }
  }

  private void register(SoakServer server, String state) {
    ObjectNode registration = server.registration(state);
    registrations.put(server.id(), registration);
    store.write("servers", server.id(), registration);
  }

  private synchronized void writeConfiguration() {
    writeConfiguration(configurationVersion);
    configurationVersion++;
  }

  private synchronized void rewriteConfiguration() {
    writeConfiguration(configurationVersion - 1);
  }

  private void writeConfiguration(int version) {
    ObjectNode configuration = Rehearsal.configuration().put("version", version);
    configuration
        .withArray("routes")
        .forEach(route -> ((ObjectNode) route).put("timeout_ms", ROUTE_TIMEOUT_MILLIS + version));
    store.write("config", "main", configuration);
  }

  /** Runs the plan and returns the violated guarantees. */
  List<Violation> run() throws Exception {
    for (GatewayMember member : members) {
      start(member);
    }
    for (GatewayMember member : members) {
      awaitServing(member.gateway());
    }
    List<SoakCaller> callers = new ArrayList<>();
    for (int i = 0; i < plan.callers(); i++) {
      callers.add(createCaller(i));
    }
    callers.forEach(SoakCaller::start);
    runEvents();
    callers.forEach(SoakCaller::requestStop);
    List<SoakCall> calls = new ArrayList<>();
    for (SoakCaller caller : callers) {
      calls.addAll(caller.stopAndAwait(TIMEOUT.toMillis()));
    }
    return findViolations(calls);
  }

  private void start(GatewayMember member) throws IOException {
    member.gateway().start();
    if (plan.isOnSlowHosts()) {
      member.gateway().throttle();
    }
  }

  private SoakCaller createCaller(int index) {
    List<RestartableGateway> gateways = members.stream().map(GatewayMember::gateway).toList();
    SoakCaller caller =
        new SoakCaller(
            "caller-" + index,
            plan.callerRandom(index),
            gateways,
            gateway ->
                plan.hasFaults()
                    ? members.get(gateways.indexOf(gateway)).proxy().endpoint()
                    : gateway.callerEndpoint(),
            plan.hasFaults() ? CALLER_TIMEOUT_WITH_FAULTS_MILLIS : CALLER_TIMEOUT_MILLIS,
            clock);
    if (index < plan.longStreams()) {
      int events =
          (int) (plan.graceSeconds() * LONG_STREAM_GRACE_FACTOR * 1000 / LONG_STREAM_GAP_MILLIS);
      caller.setFirstRequest(SoakRequest.stream(events, LONG_STREAM_GAP_MILLIS));
    }
    return caller;
  }

  private void awaitServing(RestartableGateway gateway) {
    int[] attempts = {0};
    ProcessFleet.await(
        () -> {
          SoakCall call =
              new SoakCall(
                  gateway.name() + "." + attempts[0]++,
                  gateway.name(),
                  "",
                  1,
                  SoakRequest.plain(0, 10));
          try (SoakConnection connection =
              new SoakConnection(gateway.callerEndpoint(), false, CALLER_TIMEOUT_MILLIS, clock)) {
            connection.exchange(call);
          } catch (IOException e) {
            return false;
          }
          return call.isSuccess();
        },
        "a successful response from " + gateway.name());
  }

  private void runEvents() throws InterruptedException, ExecutionException {
    long startMillis = clock.elapsedMillis();
    for (SoakPlan.Event event : plan.events()) {
      ProcessFleet.sleep(Math.max(0, startMillis + event.atMillis() - clock.elapsedMillis()));
      startEvent(event);
    }
    for (Future<?> task : runningTasks) {
      task.get();
    }
    for (GatewayMember member : members) {
      if (!member.gateway().current().isAlive()) {
        violations.add(new Violation("EXITED UNEXPECTEDLY", member.gateway().name()));
      }
    }
  }

  private void startEvent(SoakPlan.Event event) {
    switch (event.action()) {
      case RESTART_GATEWAY -> submit(() -> stopAndRestart(members.get(event.target())));
      case RELOAD_SETTINGS -> submit(() -> reloadSettings(members.get(event.target())));
      case KILL_GATEWAY -> submit(() -> killAndRestart(members.get(event.target())));
      case PAUSE_GATEWAY ->
          submit(
              () ->
                  pauseAndContinue(members.get(event.target()).gateway(), event.durationMillis()));
      case CHANGE_CONFIGURATION -> writeConfiguration();
      case DRAIN_SERVER ->
          submit(() -> drainAndRestore(servers.get(event.target()), event.durationMillis()));
      case STORE_OUTAGE -> submit(() -> makeStoreUnavailable(event.durationMillis()));
      case RESET_STORE_HISTORY -> {
        store.abortWatches();
        store.dropHistory();
      }
      case RESTORE_STORE -> submit(() -> restoreStore(event.durationMillis()));
      case RESET_CALLER_CONNECTIONS -> members.get(event.target()).proxy().resetAll();
      case RESET_SERVER_CONNECTIONS -> serverProxies.get(event.target()).resetAll();
      case DISCARD_SERVER_TRAFFIC -> serverProxies.get(event.target()).discardTraffic();
      case DELAY_SERVER_TRAFFIC ->
          submit(() -> delayTraffic(serverProxies.get(event.target()), event.durationMillis()));
      default -> throw new IllegalStateException(event.toString());
    }
  }

  private void submit(Task task) {
    runningTasks.add(
        executor.submit(
            () -> {
              task.run();
              return null;
            }));
  }

  private void stopAndRestart(GatewayMember member) throws IOException, InterruptedException {
    RestartableGateway gateway = member.gateway();
    if (!member.isRestarting().compareAndSet(false, true)) {
      if (!member.isStarting().get()) {
        RestartableGateway.signal(gateway.current(), "TERM");
      }
      return;
    }
    gateway.signal("TERM");
    long signalledAtMillis = clock.elapsedMillis();
    boolean exited = gateway.awaitExit(Duration.ofSeconds(plan.graceSeconds()));
    if (!exited) {
      gateway.kill();
    }
    shutdowns.add(
        new GatewayShutdown(gateway.name(), signalledAtMillis, clock.elapsedMillis(), !exited));
    restart(member);
  }

  private void killAndRestart(GatewayMember member) throws IOException, InterruptedException {
    boolean mustRestart = member.isRestarting().compareAndSet(false, true);
    if (!member.isStarting().get()) {
      member.gateway().kill();
    }
    if (mustRestart) {
      restart(member);
    }
  }

  private void restart(GatewayMember member) throws IOException, InterruptedException {
    member.isStarting().set(true);
    Thread.sleep(RESTART_DELAY_MILLIS);
    start(member);
    awaitServing(member.gateway());
    member.isStarting().set(false);
    member.isRestarting().set(false);
  }

  private static void reloadSettings(GatewayMember member)
      throws IOException, InterruptedException {
    member.gateway().addUnknownSetting();
    if (!member.isStarting().get()) {
      RestartableGateway.signal(member.gateway().current(), "HUP");
    }
  }

  private static void pauseAndContinue(RestartableGateway gateway, long millis)
      throws IOException, InterruptedException {
    Process process = gateway.current();
    RestartableGateway.signal(process, "STOP");
    Thread.sleep(millis);
    RestartableGateway.signal(process, "CONT");
  }

  private void drainAndRestore(SoakServer server, long millis) throws InterruptedException {
    register(server, "draining");
    Thread.sleep(millis);
    register(server, "ready");
  }

  /** Restores a copy that was taken some time ago; operator and servers write again. */
  private void restoreStore(long copyAgeMillis) throws InterruptedException {
    StoreStandin.Copy copy = store.copy();
    Thread.sleep(copyAgeMillis);
    store.restore(copy);
    Thread.sleep(OPERATOR_DELAY_MILLIS);
    rewriteConfiguration();
    Thread.sleep(SERVER_DELAY_AFTER_OPERATOR_MILLIS);
    registrations.forEach((id, registration) -> store.write("servers", id, registration));
  }

  private void makeStoreUnavailable(long millis) throws InterruptedException {
    store.setUnavailable(true);
    Thread.sleep(millis);
    store.setUnavailable(false);
  }

  private static void delayTraffic(FaultInjectingProxy proxy, long millis)
      throws InterruptedException {
    proxy.setDelay(SERVER_DELAY_MILLIS);
    Thread.sleep(millis);
    proxy.setDelay(0);
  }

  private List<Violation> findViolations(List<SoakCall> calls) throws IOException {
    List<SoakServer.Run> runs = servers.stream().flatMap(server -> server.runs().stream()).toList();
    violations.addAll(new SoakOracle(plan, runs, List.copyOf(shutdowns)).findViolations(calls));
    long served = calls.stream().filter(SoakCall::isSuccess).count();
    if (served < plan.callers()) {
      violations.add(
          new Violation(
              "TOO FEW REQUESTS SERVED",
              served + " of " + calls.size() + ", expected at least " + plan.callers()));
    }
    String summary =
        "%s%n%d requests, %d served; results %s; statuses %s; %s%n%s"
            .formatted(
                plan,
                calls.size(),
                served,
                calls.stream()
                    .collect(Collectors.groupingBy(call -> call.result, Collectors.counting())),
                calls.stream()
                    .collect(Collectors.groupingBy(call -> call.status, Collectors.counting())),
                List.copyOf(shutdowns),
                violations.stream().map(Violation::toString).collect(Collectors.joining("\n")));
    Files.writeString(directory.resolve("report.txt"), summary);
    return List.copyOf(violations);
  }

  @Override
  public void close() throws IOException {
    executor.shutdownNow();
    closer.close();
  }
}
