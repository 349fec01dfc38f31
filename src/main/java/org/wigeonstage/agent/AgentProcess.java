package org.wigeonstage.agent;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.jvm.MemoryUsageGaugeSet;
import com.google.common.flogger.FluentLogger;
import com.google.common.io.Closer;
import java.io.Closeable;
import java.io.IOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.ScheduledExecutorService;
import org.wigeonstage.common.ControlExecutors;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.common.Polling;
import org.wigeonstage.common.RepeatedTask;
import org.wigeonstage.config.ActiveConfiguration;
import org.wigeonstage.config.ConfigurationDocument;
import org.wigeonstage.handover.LoadReport;
import org.wigeonstage.handover.Message;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.HttpClient;
import org.wigeonstage.http.HttpServer;
import org.wigeonstage.http.OperatorKeys;
import org.wigeonstage.ledger.LedgerLimits;
import org.wigeonstage.ledger.RequestLedger;
import org.wigeonstage.membership.AgentRegistrar;
import org.wigeonstage.membership.AgentRegistration;
import org.wigeonstage.orders.BackendServerReconciler;
import org.wigeonstage.orders.LoadSlots;
import org.wigeonstage.queue.AdaptiveDispatchWindow;
import org.wigeonstage.queue.FairTierQueue;
import org.wigeonstage.settings.AgentSettings;
import org.wigeonstage.store.HttpObjectStore;
import org.wigeonstage.telemetry.Tracing;
import org.wigeonstage.wire.Link;
import org.wigeonstage.wire.LinkListener;
import org.wigeonstage.wire.LinkServer;

/**
 * The agent of one backend server. It accepts requests from entries, dispatches them to the backend
 * server, and keeps the models on the server in line with the configuration.
 */
public final class AgentProcess implements Closeable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long TICK_MILLIS = 100;
  private static final long RECONCILE_INTERVAL_MILLIS = 5000;
  private static final int CLIENT_THREADS = 2;
  private static final int MAX_OPERATOR_BODY_BYTES = 64 * 1024;
  private static final Duration MAX_TIME_WITHOUT_MESSAGE = Duration.ofSeconds(40);

  private final AgentSettings settings;

  /** The number of this run of the agent: its start time in milliseconds since the epoch. */
  private final long incarnation;

  private final Closer closer = Closer.create();
  private final MetricRegistry metrics = new MetricRegistry();
  private final ActiveConfiguration configuration = new ActiveConfiguration();
  private final ScheduledExecutorService controlExecutor =
      ControlExecutors.newSingleThreadExecutor("control");
  private final ScheduledExecutorService storeExecutor =
      ControlExecutors.newSingleThreadExecutor("store");
  private final AgentLedgerEffects effects;
  private final LockedLedger ledger;
  private final LinkServer linkServer;
  private final HttpServer operatorServer;
  private final AgentRegistrar registrar;
  private final ReconcileTask reconcileTask;
  private volatile boolean leaving;

  private AgentProcess(AgentSettings settings, InstantSource clock) {
    this.settings = settings;
    this.incarnation = clock.millis();
    Tracing tracing = closer.register(Tracing.start(settings.name(), settings.telemetry()));
    HttpClient client = closer.register(HttpClient.start("backend-client", CLIENT_THREADS));
    this.effects =
        new AgentLedgerEffects(
            client,
            Endpoint.parse(settings.backendServer()),
            // Only model backend servers can resume the stream of a response.
            settings.kind().equals("model"),
            metrics,
            tracing,
            controlExecutor);
    this.ledger = new LockedLedger(createLedger(clock));
    effects.bind(ledger);
    configuration.addListener((previous, current) -> updateMembers(current.document()));
    this.linkServer =
        closer.register(
            LinkServer.start(
                Endpoint.parse(settings.entries()), this::createHello, new EntryLinks(), metrics));
    this.operatorServer =
        closer.register(
            HttpServer.start(
                "operators",
                Endpoint.parse(settings.operators()),
                MAX_OPERATOR_BODY_BYTES,
                new AgentOperatorsHandler(
                    this, new OperatorKeys(settings.operatorKeyHashes()), metrics)));
    HttpObjectStore store = new HttpObjectStore(client, Endpoint.parse(settings.platform()));
    BackendServerReconciler reconciler =
        new BackendServerReconciler(
            settings.name(),
            incarnation,
            client,
            Endpoint.parse(settings.backendServer()),
            store,
            new LoadSlots(store, clock),
            MonotonicClock.system(),
            metrics);
    this.reconcileTask = new ReconcileTask(settings.name(), configuration, reconciler);
    this.registrar =
        new AgentRegistrar(
            store,
            new AgentRegistration(
                settings.name(), advertisedEndpoint(), settings.failureDomain(), incarnation),
            storeExecutor,
            new RegistrationListener());
    metrics.registerAll("jvm.memory", new MemoryUsageGaugeSet());
    registerGauges();
  }

  /**
   * Starts an agent.
   *
   * @param settings the settings of the agent
   * @param clock the wall clock
   * @return the running agent
   */
  public static AgentProcess start(AgentSettings settings, InstantSource clock) {
    AgentProcess process = new AgentProcess(settings, clock);
    process.registrar.start();
    Duration reconcileInterval = Duration.ofMillis(RECONCILE_INTERVAL_MILLIS);
    RepeatedTask.startWithFixedDelay(
        process.storeExecutor,
        "reconciliation with the backend server",
        reconcileInterval,
        reconcileInterval,
        process.reconcileTask::reconcile);
    Duration tickInterval = Duration.ofMillis(TICK_MILLIS);
    RepeatedTask.startWithFixedDelay(
        process.controlExecutor,
        "periodic checks of the agent",
        tickInterval,
        tickInterval,
        process::tick);
    logger.atInfo().log(
        "agent %s listens on %s for entries", settings.name(), process.linkServer.endpoint());
    return process;
  }

  private String advertisedEndpoint() {
    return settings.advertised().isEmpty()
        ? linkServer.endpoint().toString()
        : settings.advertised();
  }

  private void updateMembers(ConfigurationDocument document) {
    document.pools().stream()
        .filter(pool -> pool.memberNames().contains(settings.name()))
        .forEach(
            pool ->
                ledger.run(
                    requestLedger ->
                        requestLedger.updateMembers(pool.memberNames(), pool.memberChange())));
  }

  private RequestLedger createLedger(InstantSource clock) {
    return new RequestLedger(
        settings.name(),
        incarnation,
        LedgerLimits.AGENT_LIMITS,
        new FairTierQueue(settings.queueCapacity()),
        new AdaptiveDispatchWindow(
            settings.windowMin(),
            settings.windowMax(),
            settings.reservedShare(),
            Duration.ofMillis(settings.targetGapMillis())),
        clock,
        effects);
  }

  private void registerGauges() {
    metrics.register("queue.waiting", (Gauge<Integer>) () -> loadReport().waiting());
    metrics.register("backend.running", (Gauge<Integer>) () -> loadReport().running());
    metrics.register("backend.window", (Gauge<Integer>) () -> loadReport().windowSize());
    metrics.register(
        "ledger.records",
        (Gauge<Integer>) () -> ledger.get(RequestLedger::submissionAndTombstoneCount));
    metrics.register("config.version", (Gauge<Long>) () -> configuration.current().version());
    metrics.register("links.open", (Gauge<Integer>) () -> effects.links().size());
  }

  /**
   * Returns the address at which the agent listens for entries.
   *
   * @return the address, with the actual port
   */
  public Endpoint entriesEndpoint() {
    return linkServer.endpoint();
  }

  /**
   * Returns the address at which the agent listens for operators.
   *
   * @return the address, with the actual port
   */
  public Endpoint operatorsEndpoint() {
    return operatorServer.endpoint();
  }

  LoadReport loadReport() {
    return ledger.get(RequestLedger::loadReport);
  }

  String name() {
    return settings.name();
  }

  long incarnation() {
    return incarnation;
  }

  boolean isReady() {
    return registrar.isRegistered() && !leaving;
  }

  boolean isLeaving() {
    return leaving;
  }

  /**
   * Returns the configuration in force.
   *
   * @return the configuration
   */
  public ActiveConfiguration configuration() {
    return configuration;
  }

  private Message.Hello createHello() {
    return new Message.Hello(
        Message.PROTOCOL_VERSION,
        "agent",
        settings.name(),
        incarnation,
        configuration.current().version());
  }

  private void tick() {
    RepeatedTask.runPart("checks of the ledger", () -> ledger.run(RequestLedger::tick));
    effects.links().values().stream()
        .filter(link -> link.timeSinceLastMessage().compareTo(MAX_TIME_WITHOUT_MESSAGE) > 0)
        .forEach(Link::close);
  }

  /** Stops accepting requests, refuses the queued ones, and lets the running ones finish. */
  public void leave() {
    if (leaving) {
      return;
    }
    leaving = true;
    logger.atInfo().log("leaving: no new requests are accepted from entries");
    effects.links().values().forEach(link -> link.send(new Message.Leaving()));
    ledger.run(RequestLedger::leave);
  }

  /**
   * Leaves, and waits until no connected entry needs a request or response of this agent.
   *
   * @return whether all requests finished within the grace period of the settings
   * @throws InterruptedException if the thread is interrupted while it waits
   */
  public boolean drain() throws InterruptedException {
    leave();
    Duration gracePeriod = Duration.ofMillis(settings.drainGraceMillis());
    if (!Polling.await(() -> ledger.get(RequestLedger::isDrained), gracePeriod)) {
      logger.atWarning().log(
          "drain grace period of %s ms ended before all requests finished",
          settings.drainGraceMillis());
      return false;
    }
    // Leaves time for the last messages to reach the entries.
    Thread.sleep(TICK_MILLIS);
    return true;
  }

  @Override
  public void close() throws IOException {
    controlExecutor.shutdownNow();
    storeExecutor.shutdownNow();
    closer.close();
  }

  /** Reacts to the registration of this or a later incarnation. */
  private final class RegistrationListener implements AgentRegistrar.Listener {

    @Override
    public void replaced() {
      logger.atWarning().log(
          "a later incarnation of agent %s has registered and owns the backend server",
          settings.name());
      leave();
    }

    @Override
    public void registered(boolean isFirst) {
      reconcileTask.markRegistered(!isFirst);
      if (isFirst) {
        ledger.run(RequestLedger::markKeyHistoryComplete);
      }
    }
  }

  /** Handles the links from entries. */
  private final class EntryLinks implements LinkListener {

    @Override
    public void opened(Link link) {
      effects.links().put(link.id(), link);
      if (leaving) {
        link.send(new Message.Leaving());
      }
    }

    @Override
    public void received(Link link, Message message) {
      if (message instanceof Message.Ping ping) {
        reply(link, ping);
      } else if (message instanceof Message.ConfigSnapshot snapshot) {
        configuration.applyIfNewer(snapshot.version(), snapshot.document());
      } else {
        ledger.run(requestLedger -> requestLedger.receive(link.id(), message));
      }
    }

    private void reply(Link link, Message.Ping ping) {
      var current = configuration.current();
      link.send(new Message.Pong(ping.sequence(), current.version(), loadReport()));
      if (ping.configVersion() < current.version()) {
        link.send(new Message.ConfigSnapshot(current.version(), current.text()));
      }
    }

    @Override
    public void closed(Link link) {
      effects.links().remove(link.id());
      ledger.run(requestLedger -> requestLedger.linkClosed(link.id()));
    }
  }
}
