package org.wigeonstage.system;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import org.wigeonstage.http.Endpoint;

/**
 * Runs an entry, a service and several engines as processes, with an agent beside the service and
 * each engine.
 */
public final class BenchmarkFleet implements Closeable {

  /** The API key of the client account. */
  public static final String ACCOUNT_KEY = ProcessFleet.ACCOUNT_KEY;

  private static final int MAX_WINDOW_REQUESTS = 64;

  private final ProcessFleet fleet;
  private final Endpoint service;
  private final ProcessFleet.EntryAddresses entry;

  private BenchmarkFleet(ProcessFleet fleet, int engines) throws IOException {
    this.fleet = fleet;
    fleet.setWindowMax(MAX_WINDOW_REQUESTS);
    Endpoint platform = fleet.startPlatform();
    this.service = fleet.startService("service", 0);
    fleet.startAgent("service-agent", "service", FreeEndpoints.next(), service, platform);
    List<String> agents = new ArrayList<>();
    for (int i = 1; i <= engines; i++) {
      Endpoint engine = fleet.startEngine("engine-" + i);
      fleet.startAgent("agent-" + i, "model", FreeEndpoints.next(), engine, platform);
      agents.add("agent-" + i);
    }
    this.entry = fleet.startEntry("entry", platform, List.of());
    fleet.submitConfiguration(
        entry,
        List.of(
            ProcessFleet.pool("runners", "model", agents),
            ProcessFleet.pool("portal", "service", List.of("service-agent"))),
        List.of());
    fleet.awaitAvailableAgents(entry, engines + 1);
  }

  /**
   * Starts the processes and waits until all agents are available.
   *
   * @param engines the number of engines
   * @throws IOException if a process cannot be started
   */
  public static BenchmarkFleet start(int engines) throws IOException {
    return new BenchmarkFleet(new ProcessFleet(Files.createTempDirectory("fleet")), engines);
  }

  /** Returns the endpoint of the entry for callers. */
  public Endpoint entryEndpoint() {
    return entry.callers();
  }

  /** Returns the endpoint of the service itself, without entry and agent. */
  public Endpoint serviceEndpoint() {
    return service;
  }

  /** Returns the process ID of the entry. */
  public long entryPid() {
    return fleet.process("entry").pid();
  }

  /** Returns the process ID of the agent of the first engine. */
  public long agentPid() {
    return fleet.process("agent-1").pid();
  }

  /** Returns the process ID of the agent of the service. */
  public long serviceAgentPid() {
    return fleet.process("service-agent").pid();
  }

  @Override
  public void close() throws IOException {
    fleet.close();
  }
}
