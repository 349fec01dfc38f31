package org.wigeonstage.gateway;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.Comparators;
import com.google.common.collect.ObjectArrays;
import com.google.common.io.Closer;
import java.io.Closeable;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import org.wigeonstage.common.ClockReader;
import org.wigeonstage.common.ControlExecutors;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.common.Polling;
import org.wigeonstage.common.RepeatedTask;
import org.wigeonstage.fleet.FleetStore;
import org.wigeonstage.fleet.StoredConfiguration;
import org.wigeonstage.forward.HeaderCodec;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.HttpServer;
import org.wigeonstage.http.InFlightWork;
import org.wigeonstage.http.MemoryBound;
import org.wigeonstage.http.PooledHttpClient;
import org.wigeonstage.http.ServerOptions;
import org.wigeonstage.placement.Locality;
import org.wigeonstage.quota.AccountQuotas;
import org.wigeonstage.quota.RetryLimits;
import org.wigeonstage.rollout.RolloutStore;
import org.wigeonstage.settings.GatewaySettings;
import org.wigeonstage.telemetry.DecisionLog;
import org.wigeonstage.telemetry.ProbePages;

/** A gateway: accepts callers' requests, and forwards them to backend servers that it selects. */
public final class GatewayProcess implements Closeable {

  private static final Duration TICK_INTERVAL = Duration.ofMillis(20);

  /**
   * Interval between checks for expired idle connections. Connections expire 700 ms before their
   * servers close them, and are checked again before they are reused.
   */
  private static final Duration IDLE_CHECK_INTERVAL = Duration.ofMillis(200);

  /**
   * Maximum age of the configuration, as a share of the time for which a removed key may still be
   * accepted; the rest covers the transit time of requests.
   */
  private static final double MAX_AGE_SHARE = 0.9;

  /** Share of the configured retry allowance that is used; the rest is a safety margin. */
  private static final double RETRY_SAFETY_FACTOR = 0.8;

  /** Request heads with 16 KB of header fields must be accepted. */
  private static final int MAX_HEAD_BYTES = 32 * 1024;

  private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);
  private static final int HANDLER_THREADS = 1;
  private static final int MAX_PROBE_BODY_BYTES = 1024;

  private final GatewaySettings settings;
  private final Closer closer = Closer.create();
  private final MetricRegistry metrics = new MetricRegistry();
  private final GatewayCore core;
  private final ServerCapacities capacities;
  private final ConfigurationState configuration;
  private final ReadLagMonitor readLag;
  private final SchedulingDelayMonitor schedulingDelay;
  private final PooledHttpClient client;
  private final HttpServer callerServer;
  private final HttpServer readinessServer;
  private final StoreWatcher storeWatcher;
  private final Optional<RolloutWatcher> rolloutWatcher;
  private final CallerRequestHandler requestHandler;
  private final PeerSynchronizer peerSynchronizer;
  private final ScheduledExecutorService controlExecutor =
      ControlExecutors.newSingleThreadExecutor("control");

  private Duration idleCheckedAt = Duration.ZERO;

  private GatewayProcess(
      GatewaySettings settings,
      FleetStore store,
      RolloutStore rolloutStore,
      HeaderCodec headerCodec) {
    this.settings = settings;
    MonotonicClock clock = MonotonicClock.system();
    ClockReader clocks = ClockReader.system();
    this.client =
        closer.register(
            PooledHttpClient.start("backend", 1, clock, new ServerConnectionEndRecorder(metrics)));
    this.capacities = createCapacities(settings, metrics);
    this.core =
        new GatewayCore(
            clock,
            headerCodec,
            client,
            metrics,
            retryLimits(settings),
            new AccountQuotas(settings.quotaTolerance(), settings.isFirstStart(), clock.elapsed()),
            new RequestLogSampler(settings.logOneIn()),
            capacities);
    this.readLag = new ReadLagMonitor(clock);
    this.schedulingDelay = new SchedulingDelayMonitor(clock, TICK_INTERVAL);
    this.configuration = createConfiguration(settings, clocks);
    StoreRestores restores = new StoreRestores(settings.name(), store.era(), clock, metrics);
    this.storeWatcher =
        closer.register(
            new StoreWatcher(store, watchTimes(settings), clocks, configuration, core, restores));
    this.rolloutWatcher =
        settings
            .rollout()
            .map(limits -> closer.register(new RolloutWatcher(rolloutStore, core, limits)));
    this.requestHandler =
        new CallerRequestHandler(core, configuration, readLag, settings.gracePeriod());
    this.callerServer =
        closer.register(
            HttpServer.start(
                "callers",
                Endpoint.parse(settings.callers()),
                new ServerOptions(MAX_HEAD_BYTES, MAX_BODY_BYTES, IDLE_TIMEOUT, HANDLER_THREADS),
                clock,
                new ConnectionEndRecorder(metrics),
                memoryBound(settings, headerCodec),
                requestHandler));
    this.peerSynchronizer =
        closer.register(
            new PeerSynchronizer(settings, store, core, configuration, clocks, restores, metrics));
    ProbeHandler probeHandler = new ProbeHandler(new ProbePages(metrics, this::isReady));
    ServerOptions probeOptions =
        new ServerOptions(MAX_HEAD_BYTES, MAX_PROBE_BODY_BYTES, IDLE_TIMEOUT, HANDLER_THREADS);
    this.readinessServer =
        closer.register(
            HttpServer.start(
                "readiness", Endpoint.parse(settings.readiness()), probeOptions, probeHandler));
    closer.register(
        HttpServer.start(
            "metrics", Endpoint.parse(settings.metrics()), probeOptions, probeHandler));
    registerMetrics();
  }

  /** Creates the state of the configuration; a first start has no peers that may know more. */
  private static ConfigurationState createConfiguration(
      GatewaySettings settings, ClockReader clocks) {
    ConfigurationState created = new ConfigurationState(clocks, maxConfigurationAge(settings));
    if (!settings.isFirstStart()) {
      created.startJoin();
    }
    return created;
  }

  private static ServerCapacities createCapacities(
      GatewaySettings settings, MetricRegistry metrics) {
    Locality locality = new Locality(settings.failureDomain(), settings.crossingCost());
    return new ServerCapacities(settings.learnedServerLimits(), locality, metrics);
  }

  private void registerMetrics() {
    metrics.register("callers.reservedBodyBytes", (Gauge<Long>) callerServer::reservedBodyBytes);
    metrics.register("callers.responseBytes", (Gauge<Long>) callerServer::responseBytes);
    metrics.register("jvm.memory.heap.used", (Gauge<Long>) GatewayProcess::heapUsed);
    metrics.register("jvm.memory.heap.max", (Gauge<Long>) Runtime.getRuntime()::maxMemory);
    metrics.register(
        "configuration.ageMillis",
        (Gauge<Long>) () -> configuration.age().map(Duration::toMillis).orElse(-1L));
    metrics.register("tasks.failed", (Gauge<Long>) RepeatedTask::failureCount);
    metrics.register("backend.connects", (Gauge<Long>) client::connectAttempts);
  }

  /**
   * Starts a gateway.
   *
   * @param settings the settings of the gateway
   * @param store the store of the configuration, the backend servers and the registered gateways
   * @param rolloutStore the store of roll-out orders, which is used only if the settings have
   *     limits of roll-outs
   * @param headerCodec the codec of the platform's header fields
   * @return the running gateway
   */
  public static GatewayProcess start(
      GatewaySettings settings,
      FleetStore store,
      RolloutStore rolloutStore,
      HeaderCodec headerCodec) {
    GatewayProcess process = new GatewayProcess(settings, store, rolloutStore, headerCodec);
    process.applyPromptOverrides(settings);
    process.storeWatcher.start();
    process.rolloutWatcher.ifPresent(RolloutWatcher::start);
    process.peerSynchronizer.start();
    RepeatedTask.startWithFixedDelay(
        process.controlExecutor, "periodic checks", TICK_INTERVAL, TICK_INTERVAL, process::tick);
    DecisionLog.write("started", "callers", settings.callers(), "store", settings.store());
    return process;
  }

  /**
   * Applies changed settings. Limits take effect at once; addresses and names change only with the
   * next start.
   *
   * @param changed the changed settings
   */
  public void reload(GatewaySettings changed) {
    core.withLock(() -> core.applyLimits(retryLimits(changed), changed.quotaTolerance()));
    applyPromptOverrides(changed);
    configuration.updateMaxAge(maxConfigurationAge(changed));
    storeWatcher.updateWatchTimes(watchTimes(changed));
    DecisionLog.write(
        "settings-reloaded",
        "revocationMillis",
        changed.revocationMillis(),
        "retryRatio",
        changed.retryRatio(),
        "retryFixed",
        changed.retryFixed(),
        "heldPromptParts",
        PromptHolds.text(changed.heldPromptParts()),
        "releasedPromptParts",
        PromptHolds.text(changed.releasedPromptParts()));
  }

  private void applyPromptOverrides(GatewaySettings current) {
    core.withLock(
        () ->
            core.promptHolds()
                .applyOverrides(current.heldPromptParts(), current.releasedPromptParts()));
  }

  private Optional<MemoryBound> memoryBound(GatewaySettings settings, HeaderCodec headerCodec) {
    MemoryAdmission admission =
        new MemoryAdmission(
            () -> configuration.current().map(StoredConfiguration::table), headerCodec);
    return settings.memoryMegabytes().stream()
        .mapToObj(
            megabytes ->
                MemoryBound.ofProcess(megabytes, Runtime.getRuntime().maxMemory(), admission))
        .findFirst();
  }

  /** Reads the runtime instead of the management beans, because those take long to load. */
  private static long heapUsed() {
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  private static RetryLimits retryLimits(GatewaySettings settings) {
    return new RetryLimits(
        settings.retryRatio(),
        settings.retryFixed(),
        Duration.ofSeconds(settings.retryWindowSeconds()),
        RETRY_SAFETY_FACTOR);
  }

  private static WatchTimes watchTimes(GatewaySettings settings) {
    return WatchTimes.of(settings.configurationDelay(), settings.leavingDelay());
  }

  private static Duration maxConfigurationAge(GatewaySettings settings) {
    return Duration.ofMillis((long) (settings.revocationDelay().toMillis() * MAX_AGE_SHARE));
  }

  /**
   * Returns the address on which the gateway listens for callers.
   *
   * @return the address, with the port that the operating system assigned
   */
  public Endpoint callersEndpoint() {
    return callerServer.endpoint();
  }

  /**
   * Returns the address on which the gateway listens for readiness checks.
   *
   * @return the address, with the port that the operating system assigned
   */
  public Endpoint readinessEndpoint() {
    return readinessServer.endpoint();
  }

  /** Returns the core, for tests that hold its lock. */
  GatewayCore core() {
    return core;
  }

  /**
   * Returns the number of peers that have reported recently or are stopped.
   *
   * @return the number of peers
   */
  public int peerCount() {
    return peerSynchronizer.countPeersWithKnownUsage();
  }

  private void tick() {
    schedulingDelay.tick();
    RepeatedTask.runPart("checks of open requests", () -> core.withLock(core::tick));
    RepeatedTask.runPart(
        "record of server limits", () -> core.withLock(() -> capacities.tick(core.now())));
    RepeatedTask.runPart("measurement of the read lag", readLag::tick);
    RepeatedTask.runPart("checks of held requests", () -> core.withLock(requestHandler::tick));
    RepeatedTask.runPart("exchange with peers", () -> core.withLock(peerSynchronizer::tick));
    Duration now = core.now();
    if (now.minus(idleCheckedAt).compareTo(IDLE_CHECK_INTERVAL) >= 0) {
      idleCheckedAt = now;
      RepeatedTask.runPart("checks of idle connections", client::closeExpired);
    }
  }

  private boolean isReady() {
    return !core.isLeaving() && configuration.isFresh();
  }

  /**
   * Shuts the gateway down gracefully. It is leaving from now on, but accepts requests until the
   * load balancer has removed it. It then waits until the responses to all open requests are
   * delivered. Requests still open shortly before the end of the grace period get a final response.
   *
   * @return whether all requests finished and their responses were delivered in time
   * @throws InterruptedException if the thread is interrupted
   */
  public boolean drain() throws InterruptedException {
    core.withLock(
        () -> {
          core.startLeaving();
          logPhase("leaving");
        });
    Thread.sleep(shutdownSchedule().balancerDelay().toMillis());
    awaitAllAnswered();
    core.withLock(
        () -> {
          requestHandler.stopAccepting();
          logPhase("no-longer-taking");
        });
    boolean isFinished = awaitAllAnswered();
    if (!isFinished) {
      core.withLock(
          () -> {
            logPhase("given-up");
            core.endOpenRequests();
          });
    }
    Duration remainingTime = shutdownSchedule().connectionDeadline().minus(core.leavingTime());
    boolean isDelivered = callerServer.drain(Comparators.max(remainingTime, Duration.ZERO));
    InFlightWork remaining = callerServer.inFlightWork();
    core.withLock(
        () ->
            logPhase(
                "stopped",
                "answersDelivered",
                isDelivered,
                "connections",
                remaining.connections(),
                "unansweredRequests",
                remaining.unansweredRequests(),
                "untakenAnswers",
                remaining.undeliveredResponses()));
    return isFinished && isDelivered;
  }

  /** Returns the schedule for the scheduling delay measured so far. */
  private ShutdownSchedule shutdownSchedule() {
    return new ShutdownSchedule(settings.gracePeriod(), schedulingDelay.maxRecentDelay());
  }

  /** Waits until all requests have a response; returns false if the request deadline passes. */
  private boolean awaitAllAnswered() throws InterruptedException {
    return Polling.await(() -> unansweredCount() == 0, this::isAfterRequestDeadline);
  }

  private boolean isAfterRequestDeadline() {
    return core.leavingTime().compareTo(shutdownSchedule().requestDeadline()) > 0;
  }

  /** Returns the number of requests without a response, admitted or not. */
  private int unansweredCount() {
    return core.readWithLock(() -> core.openRequestCount() + requestHandler.undecidedCount());
  }

  /** Logs the start of a shutdown phase with the number of open requests. */
  private void logPhase(String event, Object... namesAndValues) {
    Object[] openCounts = {
      "openRequests",
      core.openRequestCount(),
      "notAdmitted",
      requestHandler.undecidedCount(),
      "leavingMillis",
      core.leavingTime().toMillis()
    };
    DecisionLog.write(event, ObjectArrays.concat(openCounts, namesAndValues, Object.class));
  }

  @Override
  public void close() throws IOException {
    controlExecutor.shutdownNow();
    closer.close();
  }
}
