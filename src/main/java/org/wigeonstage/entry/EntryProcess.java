package org.wigeonstage.entry;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.jvm.MemoryUsageGaugeSet;
import com.google.common.flogger.FluentLogger;
import com.google.common.io.Closer;
import java.io.Closeable;
import java.io.IOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.wigeonstage.admission.AccountRateLimiter;
import org.wigeonstage.admission.AdmissionChain;
import org.wigeonstage.admission.OutputLengthEstimator;
import org.wigeonstage.common.ControlExecutors;
import org.wigeonstage.common.Json;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.common.Polling;
import org.wigeonstage.config.ActiveConfiguration;
import org.wigeonstage.config.ConfigurationDocument;
import org.wigeonstage.config.ConfigurationRecord;
import org.wigeonstage.config.ConfigurationVersion;
import org.wigeonstage.dispatch.DispatcherLimits;
import org.wigeonstage.dispatch.PoolDirectory;
import org.wigeonstage.dispatch.RequestDispatcher;
import org.wigeonstage.handover.Message;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.ExceptionMappingHandler;
import org.wigeonstage.http.HttpClient;
import org.wigeonstage.http.HttpServer;
import org.wigeonstage.membership.AgentRegistration;
import org.wigeonstage.membership.AgentRegistry;
import org.wigeonstage.membership.BootstrapSnapshot;
import org.wigeonstage.membership.LeavingProcessDetector;
import org.wigeonstage.membership.LimitShare;
import org.wigeonstage.membership.LinkSelector;
import org.wigeonstage.membership.PeerSnapshotClient;
import org.wigeonstage.membership.StoreWatch;
import org.wigeonstage.routing.RoutingPolicy;
import org.wigeonstage.settings.EntrySettings;
import org.wigeonstage.store.HttpObjectStore;
import org.wigeonstage.store.ObjectList;
import org.wigeonstage.store.StoreException;
import org.wigeonstage.telemetry.Tracing;
import org.wigeonstage.wire.Link;
import org.wigeonstage.wire.LinkConnector;
import org.wigeonstage.wire.LinkListener;

/** The process that accepts the requests of callers and of operators. */
public final class EntryProcess implements Closeable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long TICK_MILLIS = 100;
  private static final long PEER_FETCH_INTERVAL_MILLIS = 500;
  private static final long MEMBERSHIP_UPDATE_INTERVAL_MILLIS = 2000;
  private static final int CLIENT_THREAD_COUNT = 1;
  private static final int MAX_OPERATOR_BODY_BYTES = 2 * 1024 * 1024;

  private final EntrySettings settings;
  private final Closer closer = Closer.create();
  private final MetricRegistry metrics = new MetricRegistry();
  private final ActiveConfiguration configuration = new ActiveConfiguration();
  private final AgentRegistry agentRegistry = new AgentRegistry();
  private final LeavingProcessDetector leavingProcesses = new LeavingProcessDetector();
  private final LimitShare limitShare;
  private final AccountRateLimiter rateLimiter;
  private final HttpObjectStore store;
  private final ScheduledExecutorService controlExecutor =
      ControlExecutors.newSingleThreadExecutor("control");
  private final ScheduledExecutorService operatorExecutor =
      ControlExecutors.newSingleThreadExecutor("operator-calls");
  private final ScheduledExecutorService storeExecutor =
      ControlExecutors.newSingleThreadExecutor("store-calls");
  private final AgentLinkManager links;
  private final LinkSelector linkSelector;
  private final LinkConnector connector;
  private final LockedDispatcher dispatcher;
  private final CallerRequestHandler handler;
  private final HttpServer callerServer;
  private final HttpServer operatorServer;
  private final PeerSnapshotClient peerSnapshots;
  private final List<Thread> watchThreads;

  private EntryProcess(EntrySettings settings, InstantSource clock) {
    this.settings = settings;
    MonotonicClock monotonicClock = MonotonicClock.system();
    Tracing tracing = closer.register(Tracing.start(settings.name(), settings.telemetry()));
    HttpClient client = closer.register(HttpClient.start("client", CLIENT_THREAD_COUNT));
    this.store = new HttpObjectStore(client, Endpoint.parse(settings.platform()));
    this.links = new AgentLinkManager(monotonicClock, metrics);
    this.linkSelector =
        new LinkSelector(settings.name(), settings.failureDomain(), settings.liveLinks());
    OutputLengthEstimator estimator = new OutputLengthEstimator();
    this.rateLimiter = new AccountRateLimiter(monotonicClock);
    this.limitShare = new LimitShare(settings.name(), settings.failureDomain());
    this.handler =
        new CallerRequestHandler(
            AdmissionChain.of(rateLimiter, estimator),
            estimator,
            configuration,
            links,
            metrics,
            tracing,
            clock,
            monotonicClock);
    PoolDirectory directory = new PoolDirectory();
    RequestDispatcher requestDispatcher =
        new RequestDispatcher(
            DispatcherLimits.DEFAULTS,
            directory,
            RoutingPolicy.of(settings.routing()).createRouter(new SplittableRandom()),
            clock,
            handler);
    this.dispatcher = new LockedDispatcher(requestDispatcher, directory);
    handler.setDispatcher(dispatcher);
    configuration.addListener(
        (previous, current) -> {
          dispatcher.run((target, agents) -> agents.applyConfiguration(current.document()));
          updateLinks();
        });
    this.connector =
        closer.register(LinkConnector.start(this::createHello, new AgentLinkListener(), metrics));
    this.callerServer =
        closer.register(
            HttpServer.start(
                "callers", Endpoint.parse(settings.callers()), settings.maxBodyBytes(), handler));
    this.operatorServer =
        closer.register(
            HttpServer.start(
                "operators",
                Endpoint.parse(settings.operators()),
                MAX_OPERATOR_BODY_BYTES,
                new ExceptionMappingHandler(
                    new EntryOperatorsHandler(this, store, clock, metrics), operatorExecutor)));
    this.peerSnapshots =
        new PeerSnapshotClient(client, settings.peers().stream().map(Endpoint::parse).toList());
    this.watchThreads = startWatches();
    metrics.registerAll("jvm.memory", new MemoryUsageGaugeSet());
    metrics.register("config.version", (Gauge<Long>) () -> configuration.current().version());
    metrics.register("links.open", (Gauge<Integer>) links::openLinkCount);
    metrics.register("callers.open", (Gauge<Integer>) handler::openResponseCount);
  }

  /**
   * Registers this entry, and updates from the platform's list of hosts which processes are
   * suspected to be leaving. The list lags behind, so it can only make the entry more cautious with
   * these processes.
   */
  private void updateMembership() {
    try {
      limitShare.register(store);
      Set<String> suspected = leavingProcesses.update(store.hosts());
      limitShare.updateSuspectedLeavingEntries(suspected);
      rateLimiter.updateShare(limitShare.share());
      dispatcher.run(
          (target, directory) ->
              directory
                  .allAgents()
                  .forEach(
                      agent -> agent.updateSuspectedLeaving(suspected.contains(agent.name()))));
    } catch (StoreException e) {
      metrics.counter("store.failures").inc();
    }
  }

  /** Fetches the configuration and the agents from peers until a configuration is in force. */
  private void fetchPeerSnapshots() {
    if (configuration.current().version() > 0) {
      return;
    }
    for (BootstrapSnapshot snapshot : peerSnapshots.fetchAll()) {
      snapshot.agents().forEach(agentRegistry::update);
      if (snapshot.version() > 0) {
        configuration.applyIfNewer(snapshot.version(), snapshot.document());
      }
    }
    updateLinks();
  }

  /**
   * Starts an entry.
   *
   * @param settings the settings of the entry
   * @param clock the wall clock
   * @return the running entry
   */
  public static EntryProcess start(EntrySettings settings, InstantSource clock) {
    EntryProcess process = new EntryProcess(settings, clock);
    process.controlExecutor.scheduleWithFixedDelay(
        process::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    process.storeExecutor.scheduleWithFixedDelay(
        process::fetchPeerSnapshots,
        PEER_FETCH_INTERVAL_MILLIS,
        PEER_FETCH_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
    process.storeExecutor.scheduleWithFixedDelay(
        process::updateMembership, 0, MEMBERSHIP_UPDATE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    logger.atInfo().log(
        "entry %s listens on %s for callers and %s for operators",
        settings.name(), process.callerServer.endpoint(), process.operatorServer.endpoint());
    return process;
  }

  private List<Thread> startWatches() {
    var failures = metrics.counter("store.failures");
    return List.of(
        new StoreWatch(store, ConfigurationRecord.KIND, this::applyStoredConfiguration, failures)
            .start(),
        new StoreWatch(store, AgentRegistration.KIND, this::applyRegistrations, failures).start(),
        new StoreWatch(store, LimitShare.KIND, this::applyEntries, failures).start());
  }

  private void applyStoredConfiguration(ObjectList list) {
    list.objects().stream()
        .filter(object -> object.name().equals(ConfigurationRecord.NAME))
        .forEach(
            object -> {
              ConfigurationRecord stored = Json.read(object.value(), ConfigurationRecord.class);
              configuration.applyIfNewer(object.version(), stored.document().toString());
            });
  }

  private void applyEntries(ObjectList list) {
    limitShare.updateRegisteredEntries(list);
    rateLimiter.updateShare(limitShare.share());
  }

  private void applyRegistrations(ObjectList list) {
    list.objects().stream()
        .map(object -> Json.read(object.value(), AgentRegistration.class))
        .forEach(agentRegistry::update);
    updateLinks();
  }

  /** Updates which links to keep, from the configuration and the registered agents. */
  private synchronized void updateLinks() {
    ConfigurationDocument document = configuration.current().document();
    Set<String> members = document.memberNames();
    Set<String> alwaysOpen = linkSelector.select(document);
    for (AgentRegistration registration : agentRegistry.registrations()) {
      String name = registration.name();
      if (members.contains(name)) {
        links.configure(name, Endpoint.parse(registration.entries()), alwaysOpen.contains(name));
      }
    }
    links.retainMembers(members);
  }

  private Message.Hello createHello() {
    return new Message.Hello(
        Message.PROTOCOL_VERSION, "entry", settings.name(), 0, configuration.current().version());
  }

  private void tick() {
    try {
      links.maintain(connector, configuration.current().version());
      dispatcher.run((target, directory) -> target.tick());
    } catch (RuntimeException e) {
      logger.atSevere().atMostEvery(10, TimeUnit.SECONDS).withCause(e).log(
          "periodic checks of the entry failed; they continue at the next interval");
    }
  }

  /**
   * Returns the address on which the entry listens for callers.
   *
   * @return the address, with the actual port
   */
  public Endpoint callersEndpoint() {
    return callerServer.endpoint();
  }

  /**
   * Returns the address on which the entry listens for operators.
   *
   * @return the address, with the actual port
   */
  public Endpoint operatorsEndpoint() {
    return operatorServer.endpoint();
  }

  /**
   * Returns the configuration in force.
   *
   * @return the configuration
   */
  public ActiveConfiguration configuration() {
    return configuration;
  }

  /**
   * Returns the number of agents to which a link is open.
   *
   * @return the number of connected agents
   */
  public int connectedAgentCount() {
    return links.openLinkCount();
  }

  EntrySettings settings() {
    return settings;
  }

  /** Returns the state that lets another process start while the platform is down. */
  BootstrapSnapshot snapshot() {
    ConfigurationVersion current = configuration.current();
    return new BootstrapSnapshot(current.version(), current.text(), agentRegistry.registrations());
  }

  LockedDispatcher dispatcher() {
    return dispatcher;
  }

  boolean isReady() {
    return handler.isReady();
  }

  /** Stops accepting requests from callers. */
  public void leave() {
    logger.atInfo().log("leaving: no new requests are accepted from callers");
    handler.markLeaving();
  }

  /**
   * Leaves, and waits until all callers have received their responses.
   *
   * @return whether all requests finished within the grace period of the settings
   * @throws InterruptedException if the thread is interrupted while it waits
   */
  public boolean drain() throws InterruptedException {
    leave();
    Duration gracePeriod = Duration.ofMillis(settings.drainGraceMillis());
    if (!Polling.await(() -> handler.openResponseCount() == 0, gracePeriod)) {
      logger.atWarning().log(
          "drain grace period of %s ms ended before all requests finished",
          settings.drainGraceMillis());
      return false;
    }
    return callerServer.drain(gracePeriod);
  }

  @Override
  public void close() throws IOException {
    watchThreads.forEach(Thread::interrupt);
    controlExecutor.shutdownNow();
    operatorExecutor.shutdownNow();
    storeExecutor.shutdownNow();
    closer.close();
  }

  /** Reacts to links that open and close, and to messages on them. */
  private final class AgentLinkListener implements LinkListener {

    @Override
    public void opened(Link link) {
      Message.Hello peer = link.peerHello();
      agentRegistry.updateIncarnation(peer.name(), peer.incarnation());
      if (links.recordOpened(link)) {
        sendConfigurationIfOlder(link, peer.configVersion());
        dispatcher.run((target, directory) -> target.linkUp(peer.name(), peer.incarnation()));
      }
    }

    @Override
    public void received(Link link, Message message) {
      if (!links.isCurrent(link)) {
        return;
      }
      if (message instanceof Message.ConfigSnapshot snapshot) {
        configuration.applyIfNewer(snapshot.version(), snapshot.document());
        return;
      }
      if (message instanceof Message.Pong pong) {
        sendConfigurationIfOlder(link, pong.configVersion());
      }
      dispatcher.run((target, directory) -> target.receive(link.peerHello().name(), message));
    }

    private void sendConfigurationIfOlder(Link link, long peerVersion) {
      var current = configuration.current();
      if (peerVersion < current.version()) {
        link.send(new Message.ConfigSnapshot(current.version(), current.text()));
      }
    }

    @Override
    public void closed(Link link) {
      if (links.recordClosed(link)) {
        dispatcher.run((target, directory) -> target.linkDown(link.peerHello().name()));
      }
    }
  }
}
