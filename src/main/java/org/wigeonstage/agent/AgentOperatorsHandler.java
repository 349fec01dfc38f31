package org.wigeonstage.agent;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.handover.LoadReport;
import org.wigeonstage.http.OperatorKeys;
import org.wigeonstage.http.ProblemDetails;
import org.wigeonstage.http.RequestHandler;
import org.wigeonstage.http.ServerExchange;
import org.wigeonstage.telemetry.ProbePages;

/** Handles the requests of operators, and the health probes, at an agent. */
final class AgentOperatorsHandler implements RequestHandler {

  private static final String JSON = "application/json";
  private static final int OK = 200;

  private final AgentProcess agent;
  private final ProbePages probes;
  private final OperatorKeys keys;

  AgentOperatorsHandler(AgentProcess agent, OperatorKeys keys, MetricRegistry registry) {
    this.keys = keys;
    this.agent = agent;
    this.probes = new ProbePages(registry, agent::isReady);
  }

  @Override
  public void handle(ServerExchange exchange) {
    if (probes.handle(exchange)) {
      return;
    }
    switch (exchange.method() + " " + exchange.path()) {
      case "GET /v1/status" -> exchange.respond(OK, JSON, status().toString());
      case "POST /v1/drain" -> {
        keys.authenticate(exchange.header("Authorization"));
        agent.leave();
        exchange.respond(OK, JSON, status().toString());
      }
      default ->
          ProblemDetails.respond(
              exchange,
              ErrorCode.NOT_FOUND,
              "there is no resource at " + exchange.path(),
              Map.of());
    }
  }

  private ObjectNode status() {
    LoadReport load = agent.load();
    return JsonNodeFactory.instance
        .objectNode()
        .put("name", agent.name())
        .put("role", "agent")
        .put("incarnation", agent.incarnation())
        .put("configVersion", agent.configuration().current().version())
        .put("leaving", agent.isLeaving())
        .put("running", load.running())
        .put("window", load.windowSize())
        .put("waiting", load.waiting());
  }
}
