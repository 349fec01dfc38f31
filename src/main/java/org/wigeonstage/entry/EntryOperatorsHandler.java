package org.wigeonstage.entry;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.InstantSource;
import java.util.Map;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.Json;
import org.wigeonstage.config.ConfigurationWriter;
import org.wigeonstage.console.ConsoleHandler;
import org.wigeonstage.http.OperatorKeys;
import org.wigeonstage.http.ProblemDetails;
import org.wigeonstage.http.RequestHandler;
import org.wigeonstage.http.ServerExchange;
import org.wigeonstage.routing.AgentState;
import org.wigeonstage.store.ObjectStore;
import org.wigeonstage.telemetry.ProbePages;

/** Handles the requests of operators, and those for health probes and metrics, at an entry. */
final class EntryOperatorsHandler implements RequestHandler {

  private static final String JSON = "application/json";
  private static final int OK = 200;

  private final EntryProcess entry;
  private final ProbePages probePages;
  private final OperatorKeys keys;
  private final ConfigurationApi configuration;
  private final ConsoleHandler console;

  EntryOperatorsHandler(
      EntryProcess entry, ObjectStore store, InstantSource clock, MetricRegistry metrics) {
    this.entry = entry;
    this.probePages = new ProbePages(metrics, entry::isReady);
    this.keys = new OperatorKeys(entry.settings().operatorKeyHashes());
    ConfigurationWriter writer = new ConfigurationWriter(store, clock);
    this.configuration = new ConfigurationApi(entry.configuration(), store, writer);
    this.console = new ConsoleHandler(keys, store, writer, this::status, clock);
  }

  @Override
  public void handle(ServerExchange exchange) {
    String path = exchange.path();
    if (probePages.handle(exchange)) {
      return;
    }
    if (path.startsWith(ConsoleHandler.ROOT)) {
      console.handle(exchange);
    } else if (path.startsWith("/v1/configuration") || path.equals("/v1/drain")) {
      keys.authenticate(exchange.header("Authorization"));
      handleAuthenticated(exchange);
    } else {
      handleUnauthenticated(exchange);
    }
  }

  private void handleAuthenticated(ServerExchange exchange) {
    switch (exchange.method() + " " + exchange.path()) {
      case "GET /v1/configuration" -> configuration.get(exchange);
      case "GET /v1/configuration/history" -> configuration.history(exchange);
      case "POST /v1/configuration" -> configuration.submit(exchange);
      case "POST /v1/drain" -> {
        entry.leave();
        exchange.respond(OK, JSON, status().toString());
      }
      default -> respondNotFound(exchange);
    }
  }

  private static void respondNotFound(ServerExchange exchange) {
    ProblemDetails.respond(
        exchange, ErrorCode.NOT_FOUND, "there is no resource at " + exchange.path(), Map.of());
  }

  private void handleUnauthenticated(ServerExchange exchange) {
    switch (exchange.method() + " " + exchange.path()) {
      case "GET /v1/status" -> exchange.respond(OK, JSON, status().toString());
      case "GET /v1/snapshot" -> exchange.respond(OK, JSON, Json.write(entry.snapshot()));
      default -> respondNotFound(exchange);
    }
  }

  private ObjectNode status() {
    ObjectNode status =
        JsonNodeFactory.instance
            .objectNode()
            .put("name", entry.settings().name())
            .put("role", "entry")
            .put("configVersion", entry.configuration().current().version())
            .put("ready", entry.isReady());
    ArrayNode agents = status.putArray("agents");
    entry
        .coordinator()
        .run(
            (coordinator, directory) -> {
              status.put("openRequests", coordinator.openRequests());
              directory.allAgents().forEach(agent -> agents.add(toJson(agent)));
            });
    return status;
  }

  private static ObjectNode toJson(AgentState agent) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("name", agent.name())
        .put("failureDomain", agent.failureDomain())
        .put("connected", agent.isLinked())
        .put("available", agent.isAvailable())
        .put("outstanding", agent.outstanding())
        .put("running", agent.loadReport().running())
        .put("waiting", agent.loadReport().waiting())
        .put("window", agent.loadReport().windowSize());
  }
}
