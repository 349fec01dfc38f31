package org.wigeonstage.entry;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.opentelemetry.api.trace.Span;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.admission.AdmissionChain;
import org.wigeonstage.admission.AdmissionContext;
import org.wigeonstage.admission.AdmissionRequest;
import org.wigeonstage.admission.OutputLengthEstimator;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.config.ActiveConfiguration;
import org.wigeonstage.config.ConfigurationDocument;
import org.wigeonstage.config.TierSpec;
import org.wigeonstage.handover.Message;
import org.wigeonstage.http.RequestHandler;
import org.wigeonstage.http.ServerExchange;
import org.wigeonstage.offer.OfferEffects;
import org.wigeonstage.offer.SubmissionResult;
import org.wigeonstage.request.Outcome;
import org.wigeonstage.request.RequestId;
import org.wigeonstage.request.RequestSpec;
import org.wigeonstage.telemetry.Tracing;

/** Handles the requests of callers, and carries out the decisions of the offer coordinator. */
final class CallerRequestHandler implements RequestHandler, OfferEffects {

  private static final int OK = 200;

  private final AdmissionChain admission;
  private final OutputLengthEstimator estimator;
  private final ActiveConfiguration configuration;
  private final AgentLinkManager links;
  private final MetricRegistry metrics;
  private final Tracing tracing;
  private final InstantSource clock;
  private final MonotonicClock monotonicClock;
  private final Map<RequestId, CallerResponse> responses = new ConcurrentHashMap<>();
  private @Nullable LockedOfferCoordinator coordinator;
  private volatile boolean leaving;

  CallerRequestHandler(
      AdmissionChain admission,
      OutputLengthEstimator estimator,
      ActiveConfiguration configuration,
      AgentLinkManager links,
      MetricRegistry metrics,
      Tracing tracing,
      InstantSource clock,
      MonotonicClock monotonicClock) {
    this.admission = admission;
    this.estimator = estimator;
    this.configuration = configuration;
    this.links = links;
    this.metrics = metrics;
    this.tracing = tracing;
    this.clock = clock;
    this.monotonicClock = monotonicClock;
  }

  /**
   * Sets the offer coordinator whose decisions are carried out. Called once, before any request.
   */
  void setCoordinator(LockedOfferCoordinator newCoordinator) {
    coordinator = newCoordinator;
  }

  private LockedOfferCoordinator coordinator() {
    return Objects.requireNonNull(coordinator, "offer coordinator not set");
  }

  void markLeaving() {
    leaving = true;
  }

  int openResponseCount() {
    return responses.size();
  }

  @Override
  public void handle(ServerExchange exchange) {
    switch (exchange.path()) {
      case "/healthz" -> exchange.respond(OK, "text/plain", "ok\n");
      case "/readyz" -> respondWithReadiness(exchange);
      case "/v1/models" -> respondWithModels(exchange);
      default -> submit(exchange);
    }
  }

  private void respondWithReadiness(ServerExchange exchange) {
    boolean ready = isReady();
    int status = ready ? OK : ErrorCode.LEAVING.httpStatus();
    exchange.respond(status, "text/plain", ready ? "ready\n" : "not ready\n");
  }

  boolean isReady() {
    return !leaving && configuration.current().version() > 0;
  }

  private void respondWithModels(ServerExchange exchange) {
    ArrayNode models = JsonNodeFactory.instance.arrayNode();
    configuration.current().document().pools().stream()
        .flatMap(pool -> pool.models().stream())
        .sorted()
        .forEach(model -> models.add(models.objectNode().put("id", model).put("object", "model")));
    ObjectNode body = JsonNodeFactory.instance.objectNode().put("object", "list");
    body.set("data", models);
    exchange.respond(OK, "application/json", body.toString());
  }

  private void submit(ServerExchange exchange) {
    RequestId id = RequestId.create(clock.instant());
    Span span = tracing.startSpan("entry", exchange.header("traceparent"));
    span.setAttribute("wigeonstage.request", id.value());
    try {
      submit(exchange, id, span);
    } catch (WigeonstageException e) {
      metrics.counter("callers.refused." + e.code().text()).inc();
      span.setAttribute("wigeonstage.outcome", Outcome.NOT_RUN.text());
      span.end();
      String detail = Objects.requireNonNullElse(e.getMessage(), e.code().text());
      CallerResponse.respondWithProblem(exchange, id, e.code(), Outcome.NOT_RUN, detail);
    }
  }

  private void submit(ServerExchange exchange, RequestId id, Span span) {
    if (leaving) {
      throw new WigeonstageException(ErrorCode.LEAVING, "this entry is leaving");
    }
    ConfigurationDocument document = configuration.current().document();
    AdmissionContext context = new AdmissionContext(document, toAdmissionRequest(exchange));
    admission.admit(context);
    TierSpec tier = document.tierSpec(context.tier());
    RequestSpec spec = context.toSpec(Tracing.traceParentOf(span));
    Instant now = clock.instant();
    metrics.counter("callers.admitted.tier." + tier.name()).inc();
    responses.put(
        id,
        new CallerResponse(
            exchange,
            id,
            context.requestGroup(),
            span,
            monotonicClock.elapsed(),
            offset -> acknowledge(id, offset)));
    exchange.onDisconnect(() -> callerDisconnected(id));
    coordinator()
        .run(
            (target, directory) ->
                target.submit(
                    id,
                    spec,
                    now.plusMillis(tier.startWithinMillis()),
                    now.plusMillis(tier.finishWithinMillis())));
  }

  private static AdmissionRequest toAdmissionRequest(ServerExchange exchange) {
    return new AdmissionRequest(
        exchange.path(),
        exchange.toCall(exchange.pathAndQuery()),
        exchange.header("Authorization"),
        exchange.header("Idempotency-Key"));
  }

  private void acknowledge(RequestId id, long offset) {
    coordinator().run((target, directory) -> target.callerConsumed(id, offset));
  }

  private void callerDisconnected(RequestId id) {
    CallerResponse response = responses.remove(id);
    if (response != null) {
      metrics.counter("callers.gone").inc();
      response.span().end();
      coordinator().run((target, directory) -> target.callerDisconnected(id));
    }
  }

  @Override
  public void send(String agent, Message message) {
    if (message instanceof Message.Offer offer) {
      CallerResponse response = responses.get(offer.id());
      if (response != null) {
        response.recordOffer(clock.instant());
      }
    }
    links.send(agent, message);
  }

  @Override
  public void connect(String agent) {
    links.requestLink(agent);
  }

  @Override
  public void startResponse(RequestId id, int status, @Nullable String contentType) {
    CallerResponse response = responses.get(id);
    if (response != null) {
      tracing.recordSpan("hand-over", Tracing.traceParentOf(response.span()), response.offeredAt());
      response.start(status, contentType);
    }
  }

  @Override
  public void continueResponse(RequestId id, byte[] data) {
    CallerResponse response = responses.get(id);
    if (response == null) {
      return;
    }
    if (response.partCount() == 0) {
      metrics
          .timer("callers.firstPart")
          .update(
              monotonicClock.elapsed().minus(response.arrivedAt()).toNanos(), TimeUnit.NANOSECONDS);
    }
    response.append(data);
  }

  @Override
  public void finish(RequestId id, SubmissionResult result) {
    metrics.counter("callers.outcome." + result.outcome().text()).inc();
    CallerResponse response = responses.remove(id);
    if (response == null) {
      return;
    }
    if (result.outcome() == Outcome.COMPLETED && response.partCount() > 0) {
      estimator.observe(response.requestGroup(), response.outputTokens());
    }
    response.finish(result);
  }
}
