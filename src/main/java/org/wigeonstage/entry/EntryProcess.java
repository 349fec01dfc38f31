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

/** The process that callers and operators talk to. */
public final class EntryProcess implements Closeable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long TICK_MILLIS = 100;
  private static final long PEER_INTERVAL_MILLIS = 500;
  private static final long HOSTS_INTERVAL_MILLIS = 2000;
  private static final int CLIENT_THREADS = 1;
  private static final int MAX_OPERATOR_BODY = 2 * 1024 * 1024;

  private final EntrySettings settings;
  private final Closer closer = Closer.create();
  private final MetricRegistry metrics = new MetricRegistry();
  private final ActiveConfiguration configuration = new ActiveConfiguration();
  private final AgentRegistry roster = new AgentRegistry();
  private final LeavingProcessDetector hostList = new LeavingProcessDetector();
  private final LimitShare shares;
  private final AccountRateLimiter limits;
  private final HttpObjectStore store;
  private final ScheduledExecutorService control =
      ControlExecutors.newSingleThreadExecutor("control");
  private final ScheduledExecutorService operatorCalls =
      ControlExecutors.newSingleThreadExecutor("operator-calls");
  private final ScheduledExecutorService storeCalls =
      ControlExecutors.newSingleThreadExecutor("store-calls");
  private final LinkKeeper links;
  private final LinkSelector liveLinks;
  private final LinkConnector connector;
  private final LockedDispatcher dispatcher;
  private final CallersHandler callersHandler;
  private final HttpServer callers;
  private final HttpServer operators;
  private final PeerSnapshotClient peers;
  private final List<Thread> watches;

  private EntryProcess(EntrySettings settings, InstantSource clock) {
    this.settings = settings;
    MonotonicClock monotonicClock = MonotonicClock.system();
    Tracing tracing = closer.register(Tracing.start(settings.name(), settings.telemetry()));
    HttpClient client = closer.register(HttpClient.start("client", CLIENT_THREADS));
    this.store = new HttpObjectStore(client, Endpoint.parse(settings.platform()));
    this.links = new LinkKeeper(monotonicClock, metrics);
    this.liveLinks =
        new LinkSelector(settings.name(), settings.failureDomain(), settings.liveLinks());
    OutputLengthEstimator estimator = new OutputLengthEstimator();
    this.limits = new AccountRateLimiter(monotonicClock);
    this.shares = new LimitShare(settings.name(), settings.failureDomain());
    this.callersHandler =
        new CallersHandler(
            AdmissionChain.of(limits, estimator),
            estimator,
            configuration,
            links,
            metrics,
            tracing,
            clock,
            monotonicClock);
    PoolDirectory directory = new PoolDirectory();
    RequestDispatcher decisions =
        new RequestDispatcher(
            DispatcherLimits.DEFAULTS,
            directory,
            RoutingPolicy.of(settings.routing()).createRouter(new SplittableRandom()),
            clock,
            callersHandler);
    this.dispatcher = new LockedDispatcher(decisions, directory);
    callersHandler.bind(dispatcher);
    configuration.addListener(
        (previous, current) -> {
          dispatcher.run((target, agents) -> agents.applyConfiguration(current.document()));
          refreshLinks();
        });
    this.connector =
        closer.register(LinkConnector.start(this::greeting, new AgentLinks(), metrics));
    this.callers =
        closer.register(
            HttpServer.start(
                "callers",
                Endpoint.parse(settings.callers()),
                settings.maxBodyBytes(),
                callersHandler));
    this.operators =
        closer.register(
            HttpServer.start(
                "operators",
                Endpoint.parse(settings.operators()),
                MAX_OPERATOR_BODY,
                new ExceptionMappingHandler(
                    new EntryOperatorsHandler(this, store, clock, metrics), operatorCalls)));
    this.peers =
        new PeerSnapshotClient(client, settings.peers().stream().map(Endpoint::parse).toList());
    this.watches = startWatches();
    metrics.registerAll("jvm.memory", new MemoryUsageGaugeSet());
    metrics.register("config.version", (Gauge<Long>) () -> configuration.current().version());
    metrics.register("links.open", (Gauge<Integer>) links::openLinks);
    metrics.register("callers.open", (Gauge<Integer>) callersHandler::openAnswers);
  }

  /** Follows the platform's list of hosts, which can only add caution. */
  private void readHosts() {
    try {
      shares.register(store);
      Set<String> suspected = hostList.update(store.hosts());
      shares.updateSuspectedEntries(suspected);
      limits.updateShare(shares.share());
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

  /** Learns from peers while the platform has not given a configuration. */
  private void askPeers() {
    if (configuration.current().version() > 0) {
      return;
    }
    for (BootstrapSnapshot snapshot : peers.fetchAll()) {
      snapshot.agents().forEach(roster::update);
      if (snapshot.version() > 0) {
        configuration.applyIfNewer(snapshot.version(), snapshot.document());
      }
    }
    refreshLinks();
  }

  /**
   * Starts an entry.
   *
   * @param settings its settings
   * @param clock the wall clock
   * @return the running entry
   */
  public static EntryProcess start(EntrySettings settings, InstantSource clock) {
    EntryProcess process = new EntryProcess(settings, clock);
    process.control.scheduleWithFixedDelay(
        process::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    process.storeCalls.scheduleWithFixedDelay(
        process::askPeers, PEER_INTERVAL_MILLIS, PEER_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    process.storeCalls.scheduleWithFixedDelay(
        process::readHosts, 0, HOSTS_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    logger.atInfo().log(
        "entry %s listens on %s for callers and %s for operators",
        settings.name(), process.callers.endpoint(), process.operators.endpoint());
    return process;
  }

  private List<Thread> startWatches() {
    var failures = metrics.counter("store.failures");
    return List.of(
        new StoreWatch(store, ConfigurationRecord.KIND, this::configurationRead, failures).start(),
        new StoreWatch(store, AgentRegistration.KIND, this::registrationsRead, failures).start(),
        new StoreWatch(store, LimitShare.KIND, this::entriesRead, failures).start());
  }

  private void configurationRead(ObjectList list) {
    list.objects().stream()
        .filter(object -> object.name().equals(ConfigurationRecord.NAME))
        .forEach(
            object -> {
              ConfigurationRecord stored = Json.read(object.value(), ConfigurationRecord.class);
              configuration.applyIfNewer(object.version(), stored.document().toString());
            });
  }

  private void entriesRead(ObjectList list) {
    shares.updateRegisteredEntries(list);
    limits.updateShare(shares.share());
  }

  private void registrationsRead(ObjectList list) {
    list.objects().stream()
        .map(object -> Json.read(object.value(), AgentRegistration.class))
        .forEach(roster::update);
    refreshLinks();
  }

  /** Brings the wanted connections in line with configuration and roster. */
  private synchronized void refreshLinks() {
    ConfigurationDocument document = configuration.current().document();
    Set<String> members = document.memberNames();
    Set<String> live = liveLinks.select(document);
    for (AgentRegistration registration : roster.registrations()) {
      String name = registration.name();
      if (members.contains(name)) {
        links.want(name, Endpoint.parse(registration.entries()), live.contains(name));
      }
    }
    links.retain(members);
  }

  private Message.Hello greeting() {
    return new Message.Hello(
        Message.PROTOCOL_VERSION, "entry", settings.name(), 0, configuration.current().version());
  }

  private void tick() {
    try {
      links.maintain(connector, configuration.current().version());
      dispatcher.run((target, directory) -> target.tick());
    } catch (RuntimeException e) {
      logger.atSevere().atMostEvery(10, TimeUnit.SECONDS).withCause(e).log("control task failed");
    }
  }

  /**
   * Returns where the entry listens for callers.
   *
   * @return the address, with the port that the system chose
   */
  public Endpoint callersEndpoint() {
    return callers.endpoint();
  }

  /**
   * Returns where the entry listens for operators.
   *
   * @return the address, with the port that the system chose
   */
  public Endpoint operatorsEndpoint() {
    return operators.endpoint();
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
   * Returns the number of agents that a connection is open to.
   *
   * @return the number
   */
  public int connectedAgentCount() {
    return links.openLinks();
  }

  EntrySettings settings() {
    return settings;
  }

  /** Returns what another process needs to start while the platform is down. */
  BootstrapSnapshot snapshot() {
    ConfigurationVersion current = configuration.current();
    return new BootstrapSnapshot(current.version(), current.text(), roster.registrations());
  }

  LockedDispatcher dispatcher() {
    return dispatcher;
  }

  boolean isReady() {
    return callersHandler.isReady();
  }

  /** Takes no new requests from callers. */
  public void leave() {
    logger.atInfo().log("leaving");
    callersHandler.leave();
  }

  /**
   * Leaves and waits until all callers have their answers.
   *
   * @return whether all was finished within the settings' grace
   * @throws InterruptedException where the thread is interrupted
   */
  public boolean drain() throws InterruptedException {
    leave();
    Duration grace = Duration.ofMillis(settings.drainGraceMillis());
    if (!Polling.await(() -> callersHandler.openAnswers() == 0, grace)) {
      logger.atWarning().log("left before all requests were finished");
      return false;
    }
    return callers.drain(grace);
  }

  @Override
  public void close() throws IOException {
    watches.forEach(Thread::interrupt);
    control.shutdownNow();
    operatorCalls.shutdownNow();
    storeCalls.shutdownNow();
    closer.close();
  }

  /** Follows the connections to agents. */
  private final class AgentLinks implements LinkListener {

    @Override
    public void opened(Link link) {
      Message.Hello peer = link.peerHello();
      roster.updateIncarnation(peer.name(), peer.incarnation());
      if (links.opened(link)) {
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
      if (links.closed(link)) {
        dispatcher.run((target, directory) -> target.linkDown(link.peerHello().name()));
      }
    }
  }
}
