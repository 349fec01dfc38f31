package org.wigeonstage.admission;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.config.AccountSpec;
import org.wigeonstage.config.ConfigurationDocument;
import org.wigeonstage.config.PoolSpec;
import org.wigeonstage.config.RuleSpec;
import org.wigeonstage.request.HttpCall;
import org.wigeonstage.request.IdempotencyKey;
import org.wigeonstage.request.RequestCost;
import org.wigeonstage.request.RequestSpec;
import org.wigeonstage.request.Tier;

/**
 * The state of a caller's request during admission. Each {@link AdmissionFilter} adds its findings.
 */
public final class AdmissionContext {

  private final ConfigurationDocument configuration;
  private final AdmissionRequest request;
  private @Nullable AccountSpec account;
  private @Nullable PoolSpec pool;
  private @Nullable HttpCall call;
  private @Nullable JsonNode modelBody;
  private @Nullable RuleSpec rule;
  private @Nullable IdempotencyKey idempotencyKey;
  private RequestCost cost = RequestCost.SERVICE_CALL;

  /**
   * Creates the context of a request.
   *
   * @param configuration the current configuration
   * @param request the request of the caller
   */
  public AdmissionContext(ConfigurationDocument configuration, AdmissionRequest request) {
    this.configuration = configuration;
    this.request = request;
  }

  ConfigurationDocument configuration() {
    return configuration;
  }

  AdmissionRequest request() {
    return request;
  }

  AccountSpec account() {
    return require(account, "account");
  }

  void account(AccountSpec value) {
    account = value;
  }

  PoolSpec pool() {
    return require(pool, "pool");
  }

  HttpCall call() {
    return require(call, "call");
  }

  void target(PoolSpec targetPool, HttpCall targetCall) {
    pool = targetPool;
    call = targetCall;
  }

  /** Returns the parsed body of a model request, or null for a service. */
  @Nullable JsonNode modelBody() {
    return modelBody;
  }

  void modelBody(JsonNode value) {
    modelBody = value;
  }

  /** Returns the requested model, or the empty string for a service. */
  String model() {
    JsonNode body = modelBody;
    return body == null ? "" : body.path("model").asText();
  }

  void rule(@Nullable RuleSpec value) {
    rule = value;
  }

  void idempotencyKey(@Nullable IdempotencyKey value) {
    idempotencyKey = value;
  }

  void cost(RequestCost value) {
    cost = value;
  }

  /**
   * Returns the group of requests by which the length of the response is estimated.
   *
   * @return the client account and model
   */
  public OutputLengthEstimator.RequestGroup requestGroup() {
    return new OutputLengthEstimator.RequestGroup(account().name(), model());
  }

  /**
   * Creates the specification of the admitted request.
   *
   * @param traceParent the trace context for the next hop, or null
   * @return the specification
   * @throws IllegalStateException if admission is not complete
   */
  public RequestSpec toSpec(@Nullable String traceParent) {
    return new RequestSpec(
        account().name(),
        tier(),
        pool().name(),
        rule != null && rule.nonIdempotent(),
        idempotencyKey,
        cost,
        call(),
        traceParent);
  }

  /**
   * Returns the tier of the request.
   *
   * @return the tier of the matching rule, if it names one, or else that of the client account
   */
  public Tier tier() {
    RuleSpec current = rule;
    String ruleTier = current == null ? null : current.tier();
    return configuration.findTier(ruleTier == null ? account().tier() : ruleTier);
  }

  private static <T> T require(@Nullable T value, String name) {
    if (value == null) {
      throw new IllegalStateException(name + " has not been determined yet");
    }
    return value;
  }
}
