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
import org.wigeonstage.admission.AccountRateLimiter;
import org.wigeonstage.admission.AdmissionChain;
import org.wigeonstage.admission.OutputLengthEstimator;
import org.wigeonstage.common.ControlExecutors;
import org.wigeonstage.common.Json;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.common.Polling;
import org.wigeonstage.common.RepeatedTask;
import org.wigeonstage.config.ActiveConfiguration;
import org.wigeonstage.config.ConfigurationDocument;
import org.wigeonstage.config.ConfigurationRecord;
import org.wigeonstage.config.ConfigurationVersion;
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
import org.wigeonstage.offer.OfferCoordinator;
import org.wigeonstage.offer.OfferLimits;
import org.wigeonstage.offer.PoolDirectory;
import org.wigeonstage.routing.RoutingPolicy;
import org.wigeonstage.settings.EntrySettings;
import org.wigeonstage.store.HttpObjectStore;
import org.wigeonstage.store.ObjectList;
import org.wigeonstage.store.StoreException;
import org.wigeonstage.store.StoredObject;
import org.wigeonstage.telemetry.Tracing;
import org.wigeonstage.wire.Link;
import org.wigeonstage.wire.LinkConnector;
import org.wigeonstage.wire.LinkListener;

/**
 * The process that accepts the requests of callers and offers them to agents. It also serves
 * operators.
 */
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
  private final LeavingProcessDetector leavingProcessDetector = new LeavingProcessDetector();
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
  private final LockedOfferCoordinator coordinator;
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
    OfferCoordinator offerCoordinator =
        new OfferCoordinator(
            OfferLimits.DEFAULTS,
            directory,
            RoutingPolicy.of(settings.routing()).createRouter(new SplittableRandom()),
            clock,
            handler);
    this.coordinator = new LockedOfferCoordinator(offerCoordinator, directory);
    handler.setCoordinator(coordinator);
    configuration.addListener(
        (previous, current) -> {
          coordinator.run((target, agents) -> agents.applyConfiguration(current.document()));
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
   * suspected to be leaving. Suspected agents get no new requests, and suspected entries are not
   * counted when limits are shared. The list lags behind the actual state.
   */
  private void updateMembership() {
    try {
      limitShare.register(store);
      Set<String> suspectedLeaving = leavingProcessDetector.update(store.hosts());
      limitShare.updateSuspectedLeaving(suspectedLeaving);
      rateLimiter.updateShare(limitShare.share());
      coordinator.run(
          (target, directory) ->
              directory
                  .allAgents()
                  .forEach(
                      agent ->
                          agent.updateSuspectedLeaving(suspectedLeaving.contains(agent.name()))));
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
    Duration tickInterval = Duration.ofMillis(TICK_MILLIS);
    RepeatedTask.startWithFixedDelay(
        process.controlExecutor,
        "periodic checks of the entry",
        tickInterval,
        tickInterval,
        process::tick);
    Duration peerFetchInterval = Duration.ofMillis(PEER_FETCH_INTERVAL_MILLIS);
    RepeatedTask.startWithFixedDelay(
        process.storeExecutor,
        "calls to peers",
        peerFetchInterval,
        peerFetchInterval,
        process::fetchPeerSnapshots);
    RepeatedTask.startWithFixedDelay(
        process.storeExecutor,
        "update of the membership",
        Duration.ZERO,
        Duration.ofMillis(MEMBERSHIP_UPDATE_INTERVAL_MILLIS),
        process::updateMembership);
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
    list.objects().forEach(this::applyRegistration);
    updateLinks();
  }

  /** Applies a registration, or leaves it out if it can't be read or names no valid address. */
  private void applyRegistration(StoredObject object) {
    try {
      AgentRegistration registration = Json.read(object.value(), AgentRegistration.class);
      Endpoint.parse(registration.entries());
      agentRegistry.update(registration);
    } catch (RuntimeException e) { // other writers may leave any value there
      logger.atWarning().log(
          "the registration %s at version %d is left out: %s",
          object.name(), object.version(), e.getMessage());
    }
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
    links.clearAlwaysOpenExcept(members);
  }

  private Message.Hello createHello() {
    return new Message.Hello(
        Message.PROTOCOL_VERSION, "entry", settings.name(), 0, configuration.current().version());
  }

  private void tick() {
    RepeatedTask.runPart(
        "maintenance of links", () -> links.maintain(connector, configuration.current().version()));
    coordinator.run((target, directory) -> target.tick());
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

  LockedOfferCoordinator coordinator() {
    return coordinator;
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
   * Leaves, waits until all requests have finished, and then until all callers have received their
   * responses. Each of the two waits may take the grace period of the settings; the second only
   * starts if the first has succeeded.
   *
   * @return whether all requests finished and all responses were delivered in time
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
        coordinator.run((target, directory) -> target.linkUp(peer.name(), peer.incarnation()));
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
      coordinator.run((target, directory) -> target.receive(link.peerHello().name(), message));
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
        coordinator.run((target, directory) -> target.linkDown(link.peerHello().name()));
      }
    }
  }
}
