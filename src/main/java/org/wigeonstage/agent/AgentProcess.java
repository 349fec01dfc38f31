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
import java.util.concurrent.TimeUnit;
import org.wigeonstage.common.ControlExecutors;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.common.Polling;
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

/** The agent of one backend server. */
public final class AgentProcess implements Closeable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long TICK_MILLIS = 100;
  private static final long ORDERS_INTERVAL_MILLIS = 5000;
  private static final int CLIENT_THREADS = 2;
  private static final int MAX_OPERATOR_BODY = 64 * 1024;
  private static final Duration LINK_SILENCE_LIMIT = Duration.ofSeconds(40);

  private final AgentSettings settings;
  private final long incarnation;
  private final Closer closer = Closer.create();
  private final MetricRegistry metrics = new MetricRegistry();
  private final ActiveConfiguration configuration = new ActiveConfiguration();
  private final ScheduledExecutorService control =
      ControlExecutors.newSingleThreadExecutor("control");
  private final ScheduledExecutorService storeCalls =
      ControlExecutors.newSingleThreadExecutor("store");
  private final AgentLedgerEffects caller;
  private final LockedLedger ledger;
  private final LinkServer links;
  private final HttpServer operators;
  private final AgentRegistrar registrar;
  private final ReconcileTask orders;
  private volatile boolean leaving;

  private AgentProcess(AgentSettings settings, InstantSource clock) {
    this.settings = settings;
    this.incarnation = clock.millis();
    Tracing tracing = closer.register(Tracing.start(settings.name(), settings.telemetry()));
    HttpClient client = closer.register(HttpClient.start("backend-client", CLIENT_THREADS));
    this.caller =
        new AgentLedgerEffects(
            client,
            Endpoint.parse(settings.backendServer()),
            settings.kind().equals("model"),
            metrics,
            tracing,
            control);
    this.ledger = new LockedLedger(createLedger(clock));
    caller.bind(ledger);
    configuration.addListener((previous, current) -> updateMembers(current.document()));
    this.links =
        closer.register(
            LinkServer.start(
                Endpoint.parse(settings.entries()), this::greeting, new EntryLinks(), metrics));
    this.operators =
        closer.register(
            HttpServer.start(
                "operators",
                Endpoint.parse(settings.operators()),
                MAX_OPERATOR_BODY,
                new AgentOperatorsHandler(
                    this, new OperatorKeys(settings.operatorKeyHashes()), metrics)));
    HttpObjectStore store = new HttpObjectStore(client, Endpoint.parse(settings.platform()));
    BackendServerReconciler carrier =
        new BackendServerReconciler(
            settings.name(),
            incarnation,
            client,
            Endpoint.parse(settings.backendServer()),
            store,
            new LoadSlots(store, clock),
            MonotonicClock.system(),
            metrics);
    this.orders = new ReconcileTask(settings.name(), configuration, carrier);
    this.registrar =
        new AgentRegistrar(
            store,
            new AgentRegistration(
                settings.name(), advertisedEndpoint(), settings.failureDomain(), incarnation),
            storeCalls,
            new RegistrationListener());
    metrics.registerAll("jvm.memory", new MemoryUsageGaugeSet());
    registerGauges();
  }

  /**
   * Starts an agent.
   *
   * @param settings its settings
   * @param clock the wall clock
   * @return the running agent
   */
  public static AgentProcess start(AgentSettings settings, InstantSource clock) {
    AgentProcess process = new AgentProcess(settings, clock);
    process.registrar.start();
    process.storeCalls.scheduleWithFixedDelay(
        process.orders::reconcile,
        ORDERS_INTERVAL_MILLIS,
        ORDERS_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
    process.control.scheduleWithFixedDelay(
        process::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    logger.atInfo().log(
        "agent %s listens on %s for entries", settings.name(), process.links.endpoint());
    return process;
  }

  private String advertisedEndpoint() {
    return settings.advertised().isEmpty() ? links.endpoint().toString() : settings.advertised();
  }

  private void updateMembers(ConfigurationDocument document) {
    document.pools().stream()
        .filter(pool -> pool.memberNames().contains(settings.name()))
        .forEach(
            pool ->
                ledger.run(
                    target -> target.updateMembers(pool.memberNames(), pool.memberChange())));
  }

  private RequestLedger createLedger(InstantSource clock) {
    return new RequestLedger(
        settings.name(),
        incarnation,
        LedgerLimits.DEFAULTS,
        new FairTierQueue(settings.queueCapacity()),
        new AdaptiveDispatchWindow(
            settings.windowMin(),
            settings.windowMax(),
            settings.reservedShare(),
            Duration.ofMillis(settings.targetGapMillis())),
        clock,
        caller);
  }

  private void registerGauges() {
    metrics.register("queue.waiting", (Gauge<Integer>) () -> load().waiting());
    metrics.register("backend.running", (Gauge<Integer>) () -> load().running());
    metrics.register("backend.window", (Gauge<Integer>) () -> load().windowSize());
    metrics.register(
        "ledger.records", (Gauge<Integer>) () -> ledger.get(RequestLedger::recordCount));
    metrics.register("config.version", (Gauge<Long>) () -> configuration.current().version());
    metrics.register("links.open", (Gauge<Integer>) () -> caller.links().size());
  }

  /**
   * Returns where the agent listens for entries.
   *
   * @return the address, with the port that the system chose
   */
  public Endpoint entriesEndpoint() {
    return links.endpoint();
  }

  /**
   * Returns where the agent listens for operators.
   *
   * @return the address, with the port that the system chose
   */
  public Endpoint operatorsEndpoint() {
    return operators.endpoint();
  }

  LoadReport load() {
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

  private Message.Hello greeting() {
    return new Message.Hello(
        Message.PROTOCOL_VERSION,
        "agent",
        settings.name(),
        incarnation,
        configuration.current().version());
  }

  private void tick() {
    try {
      ledger.run(RequestLedger::tick);
      caller.links().values().stream()
          .filter(link -> link.timeSinceLastMessage().compareTo(LINK_SILENCE_LIMIT) > 0)
          .forEach(Link::close);
    } catch (RuntimeException e) {
      logger.atSevere().atMostEvery(10, TimeUnit.SECONDS).withCause(e).log("control task failed");
    }
  }

  /** Takes no new requests, gives back those that wait, and lets the others finish. */
  public void leave() {
    if (leaving) {
      return;
    }
    leaving = true;
    logger.atInfo().log("leaving");
    caller.links().values().forEach(link -> link.send(new Message.Leaving()));
    ledger.run(RequestLedger::leave);
  }

  /**
   * Leaves and waits until no entry needs anything from this agent.
   *
   * @return whether all was finished within the settings' grace
   * @throws InterruptedException where the thread is interrupted
   */
  public boolean drain() throws InterruptedException {
    leave();
    Duration grace = Duration.ofMillis(settings.drainGraceMillis());
    if (!Polling.await(() -> ledger.get(RequestLedger::isDrained), grace)) {
      logger.atWarning().log("left before all requests were finished");
      return false;
    }
    Thread.sleep(TICK_MILLIS);
    return true;
  }

  @Override
  public void close() throws IOException {
    control.shutdownNow();
    storeCalls.shutdownNow();
    closer.close();
  }

  /** Reacts to what the registration shows. */
  private final class RegistrationListener implements AgentRegistrar.Listener {

    @Override
    public void replaced() {
      logger.atWarning().log("another process owns the backend server");
      leave();
    }

    @Override
    public void registered(boolean isFirst) {
      orders.registered(!isFirst);
      if (isFirst) {
        ledger.run(RequestLedger::markKeyHistoryComplete);
      }
    }
  }

  /** Follows the connections from entries. */
  private final class EntryLinks implements LinkListener {

    @Override
    public void opened(Link link) {
      caller.links().put(link.id(), link);
      if (leaving) {
        link.send(new Message.Leaving());
      }
    }

    @Override
    public void received(Link link, Message message) {
      if (message instanceof Message.Ping ping) {
        answer(link, ping);
      } else if (message instanceof Message.ConfigSnapshot snapshot) {
        configuration.offer(snapshot.version(), snapshot.document());
      } else {
        ledger.run(target -> target.receive(link.id(), message));
      }
    }

    private void answer(Link link, Message.Ping ping) {
      var current = configuration.current();
      link.send(new Message.Pong(ping.sequence(), current.version(), load()));
      if (ping.configVersion() < current.version()) {
        link.send(new Message.ConfigSnapshot(current.version(), current.text()));
      }
    }

    @Override
    public void closed(Link link) {
      caller.links().remove(link.id());
      ledger.run(target -> target.linkClosed(link.id()));
    }
  }
}
