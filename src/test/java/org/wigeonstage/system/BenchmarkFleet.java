package org.wigeonstage.system;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import org.wigeonstage.http.Endpoint;

/** One entry, one service and several engines, each with its agent, as separate processes. */
public final class BenchmarkFleet implements Closeable {

  /** The bearer key of the client account. */
  public static final String ACCOUNT_KEY = Fleet.ACCOUNT_KEY;

  private static final int ENGINE_WINDOW = 64;

  private final Fleet fleet;
  private final Endpoint service;
  private final Fleet.EntryAddresses entry;

  private BenchmarkFleet(Fleet fleet, int engines) throws IOException {
    this.fleet = fleet;
    fleet.windowMax(ENGINE_WINDOW);
    Endpoint platform = fleet.platform();
    this.service = fleet.service("service", 0);
    fleet.agent("service-agent", "service", Fleet.freePort(), service, platform);
    List<String> agents = new ArrayList<>();
    for (int i = 1; i <= engines; i++) {
      Endpoint engine = fleet.engine("engine-" + i);
      fleet.agent("agent-" + i, "model", Fleet.freePort(), engine, platform);
      agents.add("agent-" + i);
    }
    this.entry = fleet.entry("entry", platform, List.of());
    fleet.configure(
        entry,
        List.of(
            Fleet.pool("runners", "model", agents),
            Fleet.pool("portal", "service", List.of("service-agent"))),
        List.of());
    fleet.awaitAgents(entry, engines + 1);
  }

  /** Starts the processes and waits until they are connected. */
  public static BenchmarkFleet start(int engines) throws IOException {
    return new BenchmarkFleet(new Fleet(Files.createTempDirectory("fleet")), engines);
  }

  /** Returns where callers reach the entry. */
  public Endpoint entryEndpoint() {
    return entry.callers();
  }

  /** Returns the service without anything in front of it. */
  public Endpoint serviceEndpoint() {
    return service;
  }

  /** Returns the entry's process. */
  public long entryPid() {
    return fleet.process("entry").pid();
  }

  /** Returns the process of an engine's agent. */
  public long agentPid() {
    return fleet.process("agent-1").pid();
  }

  /** Returns the process of the service's agent. */
  public long serviceAgentPid() {
    return fleet.process("service-agent").pid();
  }

  @Override
  public void close() throws IOException {
    fleet.close();
  }
}
