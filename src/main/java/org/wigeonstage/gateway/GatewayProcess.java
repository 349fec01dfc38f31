package org.wigeonstage.gateway;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.Comparators;
import com.google.common.collect.ObjectArrays;
import com.google.common.flogger.FluentLogger;
import com.google.common.io.Closer;
import java.io.Closeable;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.wigeonstage.common.ClockReader;
import org.wigeonstage.common.ControlExecutors;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.common.Polling;
import org.wigeonstage.fleet.FleetStore;
import org.wigeonstage.forward.HeaderCodec;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.HttpServer;
import org.wigeonstage.http.InFlightWork;
import org.wigeonstage.http.PooledHttpClient;
import org.wigeonstage.http.ServerOptions;
import org.wigeonstage.quota.AccountQuotas;
import org.wigeonstage.quota.RetryLimits;
import org.wigeonstage.settings.GatewaySettings;
import org.wigeonstage.telemetry.DecisionLog;
import org.wigeonstage.telemetry.ProbePages;

/** An entry that reaches backend servers itself, without agents beside them. */
public final class GatewayProcess implements Closeable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration TICK = Duration.ofMillis(20);

  /** The part of the revocation bound that is used; the rest covers the request's way here. */
  private static final double FRESHNESS_SHARE = 0.9;

  /** The part of the shared retry allowance that is used. */
  private static final double RETRY_SAFETY = 0.8;

  /** Requests with 16 KB of header fields are accepted. */
  private static final int MAX_HEAD_BYTES = 32 * 1024;

  private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);
  private static final int HANDLER_THREADS = 1;
  private static final int PROBE_BODY_BYTES = 1024;

  private final GatewaySettings settings;
  private final Closer closer = Closer.create();
  private final MetricRegistry metrics = new MetricRegistry();
  private final GatewayCore core;
  private final ConfigurationState beliefs;
  private final ReadLagMonitor lag;
  private final PooledHttpClient client;
  private final HttpServer callers;
  private final HttpServer readiness;
  private final StoreWatcher follower;
  private final CallerRequestHandler endpoint;
  private final PeerSynchronizer peers;
  private final ScheduledExecutorService control = ControlExecutors.newSingleThreadExecutor("control");

  private GatewayProcess(GatewaySettings settings, FleetStore store, HeaderCodec dialect) {
    this.settings = settings;
    MonotonicClock clock = MonotonicClock.system();
    ClockReader clocks = ClockReader.system();
    this.client = closer.register(PooledHttpClient.start("backend", 1, clock));
    this.core =
        new GatewayCore(
            clock,
            dialect,
            client,
            metrics,
            retryLimits(settings),
            new AccountQuotas(settings.quotaTolerance(), settings.isFirstStart(), clock.elapsed()),
            new RequestLogSampler(settings.logOneIn()));
    this.lag = new ReadLagMonitor(clock);
    this.beliefs = new ConfigurationState(clocks, freshness(settings));
    this.follower = closer.register(new StoreWatcher(store, clocks, beliefs, core));
    this.endpoint = new CallerRequestHandler(core, beliefs, lag, settings.grace());
    this.callers =
        closer.register(
            HttpServer.start(
                "callers",
                Endpoint.parse(settings.callers()),
                new ServerOptions(MAX_HEAD_BYTES, MAX_BODY_BYTES, IDLE_TIMEOUT, HANDLER_THREADS),
                clock,
                new ConnectionEndRecorder(metrics),
                endpoint));
    this.peers =
        closer.register(
            new PeerSynchronizer(
                settings.name(), Endpoint.parse(settings.peers()), store, core, metrics));
    ProbeHandler probes = new ProbeHandler(new ProbePages(metrics, this::isReady));
    ServerOptions probeOptions =
        new ServerOptions(MAX_HEAD_BYTES, PROBE_BODY_BYTES, IDLE_TIMEOUT, HANDLER_THREADS);
    this.readiness =
        closer.register(
            HttpServer.start(
                "readiness", Endpoint.parse(settings.readiness()), probeOptions, probes));
    closer.register(
        HttpServer.start("metrics", Endpoint.parse(settings.metrics()), probeOptions, probes));
    metrics.register("jvm.memory.heap.used", (Gauge<Long>) GatewayProcess::heapUsed);
    metrics.register("jvm.memory.heap.max", (Gauge<Long>) Runtime.getRuntime()::maxMemory);
    metrics.register(
        "configuration.ageMillis",
        (Gauge<Long>) () -> beliefs.routingAge().map(Duration::toMillis).orElse(-1L));
    metrics.register("backend.connects", (Gauge<Long>) client::connectAttempts);
  }

  /**
   * Starts a gateway.
   *
   * @param settings its settings
   * @param store where it learns of its configuration and of backend servers
   * @param dialect the meaning of header fields
   * @return the running gateway
   */
  public static GatewayProcess start(
      GatewaySettings settings, FleetStore store, HeaderCodec dialect) {
    GatewayProcess process = new GatewayProcess(settings, store, dialect);
    process.follower.start();
    process.peers.start();
    process.control.scheduleWithFixedDelay(
        process::tick, TICK.toMillis(), TICK.toMillis(), TimeUnit.MILLISECONDS);
    DecisionLog.write("started", "callers", settings.callers(), "store", settings.store());
    return process;
  }

  /**
   * Takes over changed settings. Limits take effect at once; addresses and names stay until the
   * next start.
   *
   * @param changed the settings
   */
  public void reload(GatewaySettings changed) {
    core.run(() -> core.limits(retryLimits(changed), changed.quotaTolerance()));
    beliefs.maxAge(freshness(changed));
    DecisionLog.write(
        "settings-reloaded",
        "revocationMillis",
        changed.revocationMillis(),
        "retryRatio",
        changed.retryRatio(),
        "retryFixed",
        changed.retryFixed());
  }

  /** Read from the runtime, because the management beans take long to load. */
  private static long heapUsed() {
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  private static RetryLimits retryLimits(GatewaySettings settings) {
    return new RetryLimits(
        settings.retryRatio(),
        settings.retryFixed(),
        Duration.ofSeconds(settings.retryWindowSeconds()),
        RETRY_SAFETY);
  }

  private static Duration freshness(GatewaySettings settings) {
    return Duration.ofMillis((long) (settings.revocation().toMillis() * FRESHNESS_SHARE));
  }

  /**
   * Returns where the gateway listens for callers.
   *
   * @return the address, with the port that the system chose
   */
  public Endpoint callersEndpoint() {
    return callers.endpoint();
  }

  /**
   * Returns where the gateway answers readiness checks.
   *
   * @return the address, with the port that the system chose
   */
  public Endpoint readinessEndpoint() {
    return readiness.endpoint();
  }

  /** Returns the state of requests, for tests that keep others from it. */
  GatewayCore core() {
    return core;
  }

  /**
   * Returns the number of other gateways that it hears.
   *
   * @return the number
   */
  public int peerCount() {
    return peers.heardCount();
  }

  private void tick() {
    try {
      core.run(core::tick);
      lag.tick();
      core.run(endpoint::tick);
      core.run(peers::tick);
      client.closeExpired();
    } catch (RuntimeException e) {
      logger.atSevere().atMostEvery(10, TimeUnit.SECONDS).withCause(e).log("control task failed");
    }
  }

  private boolean isReady() {
    return !core.isLeaving() && beliefs.isRoutingFresh();
  }

  /**
   * Leaves, and waits until callers have their answers.
   *
   * @return whether all was finished within the grace
   * @throws InterruptedException where the thread is interrupted
   */
  public boolean drain() throws InterruptedException {
    core.run(
        () -> {
          core.leave();
          writePhase("leaving");
        });
    ShutdownSchedule schedule = new ShutdownSchedule(settings.grace());
    Thread.sleep(schedule.balancerNoticed().toMillis());
    Polling.await(() -> unanswered() == 0, schedule.openGivenUp().minus(core.leavingFor()));
    core.run(
        () -> {
          endpoint.stopTaking();
          writePhase("no-longer-taking");
        });
    boolean finished =
        Polling.await(() -> unanswered() == 0, schedule.openGivenUp().minus(core.leavingFor()));
    if (!finished) {
      core.run(
          () -> {
            writePhase("given-up");
            core.giveUp();
          });
    }
    Duration rest = schedule.connectionsClosed().minus(core.leavingFor());
    boolean delivered = callers.drain(Comparators.max(rest, Duration.ZERO));
    InFlightWork left = callers.inFlightWork();
    core.run(
        () ->
            writePhase(
                "stopped",
                "answersDelivered",
                delivered,
                "connections",
                left.connections(),
                "unansweredRequests",
                left.unansweredRequests(),
                "untakenAnswers",
                left.undeliveredResponses()));
    return finished && delivered;
  }

  /** Returns how many requests were read and not answered, whether they were admitted or not. */
  private int unanswered() {
    return core.read(() -> core.openRequests() + endpoint.unadmitted());
  }

  /** Writes what is open at the beginning of a phase of the stop. */
  private void writePhase(String event, Object... namesAndValues) {
    Object[] open = {
      "openRequests",
      core.openRequests(),
      "notAdmitted",
      endpoint.unadmitted(),
      "leavingMillis",
      core.leavingFor().toMillis()
    };
    DecisionLog.write(event, ObjectArrays.concat(open, namesAndValues, Object.class));
  }

  @Override
  public void close() throws IOException {
    control.shutdownNow();
    closer.close();
  }
}
