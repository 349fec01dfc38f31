package org.wigeonstage.demo;

import com.google.common.io.Closer;
import java.io.Closeable;
import java.io.IOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.wigeonstage.agent.AgentProcess;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.Json;
import org.wigeonstage.common.Polling;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.config.ChangeRequest;
import org.wigeonstage.config.ConfigurationWriter;
import org.wigeonstage.config.PoolSpec;
import org.wigeonstage.entry.EntryProcess;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.HttpClient;
import org.wigeonstage.settings.AgentSettings;
import org.wigeonstage.settings.EntrySettings;
import org.wigeonstage.settings.TelemetrySettings;
import org.wigeonstage.standin.EngineSpeed;
import org.wigeonstage.standin.EngineStandin;
import org.wigeonstage.standin.PlatformStandin;
import org.wigeonstage.standin.ServiceStandin;
import org.wigeonstage.store.HttpObjectStore;

/**
 * A deployment in one process: entries, agents, and stand-ins for the platform and the backend
 * servers.
 */
public final class Deployment implements Closeable {

  private static final Endpoint ANY_PORT = new Endpoint("127.0.0.1", 0);

  /** Limits each wait for connections, and the time that a process has for draining. */
  private static final Duration START_OR_DRAIN_TIMEOUT = Duration.ofSeconds(20);

  private static final long SERVICE_DELAY_MILLIS = 5;
  private static final int HARDWARE_GENERATIONS = 3;

  private final DeploymentPlan plan;
  private final DeploymentOptions options;
  private final Closer closer = Closer.create();
  private final PlatformStandin platform;
  private final List<EngineStandin> engines = new ArrayList<>();
  private final List<ServiceStandin> services = new ArrayList<>();
  private final List<AgentNode> agents = new ArrayList<>();
  private final List<EntryNode> entries = new ArrayList<>();

  /**
   * An agent process with its settings and its backend server; both stay the same when the process
   * is restarted.
   */
  private static final class AgentNode {
    private final AgentSettings settings;
    private final Closeable backendServer;
    private AgentProcess process;

    AgentNode(AgentSettings settings, Closeable backendServer) {
      this.process = AgentProcess.start(settings, InstantSource.system());
      this.settings = withAddresses(settings, process);
      this.backendServer = backendServer;
    }

    /**
     * Replaces port 0 with the ports of the first process, so that a restart uses the same ones.
     */
    private static AgentSettings withAddresses(AgentSettings settings, AgentProcess process) {
      return new AgentSettings(
          settings.name(),
          settings.failureDomain(),
          settings.kind(),
          process.entriesEndpoint().toString(),
          settings.advertised(),
          process.operatorsEndpoint().toString(),
          settings.backendServer(),
          settings.platform(),
          settings.queueCapacity(),
          settings.windowMin(),
          settings.windowMax(),
          settings.reservedShare(),
          settings.targetGapMillis(),
          settings.operatorKeyHashes(),
          settings.drainGraceMillis(),
          settings.telemetry());
    }

    void restart() throws IOException, InterruptedException {
      process.drain();
      process.close();
      process = AgentProcess.start(settings, InstantSource.system());
    }
  }

  /** An entry process with its settings, which stay the same when the process is restarted. */
  private static final class EntryNode {
    private final EntrySettings settings;
    private EntryProcess process;

    EntryNode(EntrySettings settings) {
      this.process = EntryProcess.start(settings, InstantSource.system());
      this.settings = withAddresses(settings, process);
    }

    /**
     * Replaces port 0 with the ports of the first process, so that a restart uses the same ones.
     */
    private static EntrySettings withAddresses(EntrySettings settings, EntryProcess process) {
      return new EntrySettings(
          settings.name(),
          settings.failureDomain(),
          process.callersEndpoint().toString(),
          process.operatorsEndpoint().toString(),
          settings.platform(),
          settings.peers(),
          settings.routing(),
          settings.maxBodyBytes(),
          settings.liveLinks(),
          settings.operatorKeyHashes(),
          settings.drainGraceMillis(),
          settings.telemetry());
    }

    void restart() throws IOException, InterruptedException {
      process.drain();
      process.close();
      process = EntryProcess.start(settings, InstantSource.system());
    }
  }

  private Deployment(DeploymentPlan plan, DeploymentOptions options) {
    this.plan = plan;
    this.options = options;
    this.platform = closer.register(PlatformStandin.start(ANY_PORT));
  }

  /**
   * Starts a deployment and waits until every entry is connected to every agent.
   *
   * @param plan the deployment to start
   * @param options how to start it
   * @return the running deployment
   */
  public static Deployment start(DeploymentPlan plan, DeploymentOptions options) {
    Deployment deployment = new Deployment(plan, options);
    deployment.startAll();
    return deployment;
  }

  private void startAll() {
    writeConfiguration();
    for (DeploymentPlan.Pool pool : plan.pools()) {
      for (int i = 0; i < pool.size(); i++) {
        startBackendServer(pool, i);
      }
    }
    for (int i = 0; i < plan.entries(); i++) {
      startEntry("entry-" + (i + 1), plan.failureDomainOf(i));
    }
    await(this::isConnected, "every entry to be connected to every agent");
  }

  private void writeConfiguration() {
    try (HttpClient client = HttpClient.start("setup", 1)) {
      InstantSource clock = InstantSource.system();
      HttpObjectStore store = new HttpObjectStore(client, platform.endpoint());
      new ConfigurationWriter(store, clock)
          .submit(
              new ChangeRequest(
                  "initial", "demo", "first document", 0, Json.toTree(plan.toDocument())));
    } catch (IOException e) {
      throw new WigeonstageException(
          ErrorCode.IO, "cannot close the client that wrote the initial configuration", e);
    }
  }

  private void startBackendServer(DeploymentPlan.Pool pool, int index) {
    String name = DeploymentPlan.agentName(pool, index);
    boolean isModel = pool.kind() == PoolSpec.Kind.MODEL;
    Closeable standin;
    Endpoint backendServer;
    if (isModel) {
      EngineStandin engine = startEngine(index);
      standin = engine;
      backendServer = engine.endpoint();
    } else {
      ServiceStandin service = startService(name);
      standin = service;
      backendServer = service.endpoint();
    }
    AgentSettings settings =
        agentSettings(name, plan.failureDomainOf(index), pool.kind(), backendServer);
    agents.add(new AgentNode(settings, standin));
  }

  private EngineStandin startEngine(int index) {
    EngineSpeed speed = EngineSpeed.ofGeneration(1 + index % HARDWARE_GENERATIONS);
    EngineStandin engine = closer.register(EngineStandin.start(ANY_PORT, speed, true));
    engines.add(engine);
    return engine;
  }

  private ServiceStandin startService(String name) {
    ServiceStandin service =
        closer.register(ServiceStandin.start(name, ANY_PORT, SERVICE_DELAY_MILLIS));
    services.add(service);
    return service;
  }

  private AgentSettings agentSettings(
      String name, String failureDomain, PoolSpec.Kind kind, Endpoint backendServer) {
    return new AgentSettings(
        name,
        failureDomain,
        kind.toString(),
        ANY_PORT.toString(),
        "",
        ANY_PORT.toString(),
        backendServer.toString(),
        platform.endpoint().toString(),
        options.queueCapacity(),
        1,
        options.windowMax(),
        options.reservedShare(),
        options.targetGap().toMillis(),
        List.of(),
        START_OR_DRAIN_TIMEOUT.toMillis(),
        TelemetrySettings.DEFAULTS);
  }

  private void startEntry(String name, String failureDomain) {
    EntrySettings settings =
        new EntrySettings(
            name,
            failureDomain,
            ANY_PORT.toString(),
            ANY_PORT.toString(),
            platform.endpoint().toString(),
            List.of(),
            options.routing().text(),
            1024 * 1024,
            4000,
            List.of(),
            START_OR_DRAIN_TIMEOUT.toMillis(),
            TelemetrySettings.DEFAULTS);
    entries.add(new EntryNode(settings));
  }

  private boolean isConnected() {
    return entries.stream().allMatch(entry -> entry.process.connectedAgentCount() == agents.size());
  }

  private static void await(BooleanSupplier condition, String description) {
    try {
      if (!Polling.await(condition, START_OR_DRAIN_TIMEOUT)) {
        throw new WigeonstageException(ErrorCode.IO, "timed out while waiting for " + description);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new WigeonstageException(ErrorCode.IO, "interrupted", e);
    }
  }

  /**
   * Returns the plan.
   *
   * @return the plan that was started
   */
  public DeploymentPlan plan() {
    return plan;
  }

  /**
   * Returns the platform stand-in.
   *
   * @return the stand-in
   */
  public PlatformStandin platform() {
    return platform;
  }

  /**
   * Returns the engine stand-ins.
   *
   * @return the engines, in the order of their agents
   */
  public List<EngineStandin> engines() {
    return List.copyOf(engines);
  }

  /**
   * Returns the agents.
   *
   * @return the agents, those of the first pool first
   */
  public List<AgentProcess> agents() {
    return agents.stream().map(node -> node.process).toList();
  }

  /**
   * Returns the entries.
   *
   * @return the entries
   */
  public List<EntryProcess> entries() {
    return entries.stream().map(node -> node.process).toList();
  }

  /**
   * Returns where callers reach the entries.
   *
   * @return the addresses
   */
  public List<Endpoint> callersEndpoints() {
    return entries.stream().map(node -> node.process.callersEndpoint()).toList();
  }

  /**
   * Returns how many requests were received more than once, counted over all backend servers.
   *
   * @return the number of identifiers with a count above 1
   */
  public long doubleDispatches() {
    Map<String, Integer> totals = new HashMap<>();
    engines.forEach(e -> e.dispatches().forEach((id, n) -> totals.merge(id, n, Integer::sum)));
    services.forEach(s -> s.dispatches().forEach((id, n) -> totals.merge(id, n, Integer::sum)));
    return totals.values().stream().filter(count -> count > 1).count();
  }

  /**
   * Returns how often the plain services ran each request body.
   *
   * @return counts by body
   */
  public Map<String, Integer> serviceRuns() {
    Map<String, Integer> totals = new HashMap<>();
    services.forEach(s -> s.runs().forEach((body, n) -> totals.merge(body, n, Integer::sum)));
    return totals;
  }

  /**
   * Returns how many prompt tokens the engines processed.
   *
   * @return the number of tokens
   */
  public long prefillComputed() {
    return engines.stream().mapToLong(EngineStandin::prefillComputed).sum();
  }

  /**
   * Returns how many prompt tokens the engines found in their caches.
   *
   * @return the number of tokens
   */
  public long prefillSaved() {
    return engines.stream().mapToLong(EngineStandin::prefillSaved).sum();
  }

  /**
   * Closes all agents, their backend servers and all entries of a failure domain, without draining
   * them.
   *
   * @param failureDomain the failure domain's name
   * @throws IOException if a process can't be stopped
   */
  public void stopFailureDomain(String failureDomain) throws IOException {
    for (AgentNode node : agents) {
      if (node.settings.failureDomain().equals(failureDomain)) {
        node.process.close();
        node.backendServer.close();
      }
    }
    for (EntryNode node : entries) {
      if (node.settings.failureDomain().equals(failureDomain)) {
        node.process.close();
      }
    }
  }

  /**
   * Restarts all agents, then all entries, each gracefully and one after the other.
   *
   * @throws IOException if a process can't be stopped
   * @throws InterruptedException if the thread is interrupted
   */
  public void restartAllInTurn() throws IOException, InterruptedException {
    for (AgentNode node : agents) {
      node.restart();
    }
    for (EntryNode node : entries) {
      node.restart();
      await(
          () -> node.process.connectedAgentCount() == agents.size(),
          "a restarted entry to be connected to every agent");
    }
  }

  @Override
  public void close() throws IOException {
    for (EntryNode node : entries) {
      closer.register(node.process);
    }
    for (AgentNode node : agents) {
      closer.register(node.process);
    }
    closer.close();
  }
}
