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

/** A caller's request while it passes the admission filters, each of which adds what it found. */
public final class AdmissionContext {

  private final ConfigurationDocument configuration;
  private final AdmissionRequest request;
  private @Nullable AccountSpec account;
  private @Nullable PoolSpec pool;
  private @Nullable HttpCall call;
  private @Nullable JsonNode modelBody;
  private @Nullable RuleSpec rule;
  private @Nullable IdempotencyKey key;
  private RequestCost cost = RequestCost.SERVICE_CALL;

  /**
   * Creates the context of a request.
   *
   * @param configuration the configuration in force
   * @param request what the caller sent
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
    return present(account, "account");
  }

  void account(AccountSpec value) {
    account = value;
  }

  PoolSpec pool() {
    return present(pool, "pool");
  }

  HttpCall call() {
    return present(call, "call");
  }

  void target(PoolSpec targetPool, HttpCall targetCall) {
    pool = targetPool;
    call = targetCall;
  }

  /** Returns the body of a model request, or null for a plain service. */
  @Nullable JsonNode modelBody() {
    return modelBody;
  }

  void modelBody(JsonNode value) {
    modelBody = value;
  }

  String model() {
    JsonNode body = modelBody;
    return body == null ? "" : body.path("model").asText();
  }

  void rule(@Nullable RuleSpec value) {
    rule = value;
  }

  void key(@Nullable IdempotencyKey value) {
    key = value;
  }

  void cost(RequestCost value) {
    cost = value;
  }

  /**
   * Returns whose answers are alike in length.
   *
   * @return account and model
   */
  public OutputLengthEstimator.RequestGroup requestGroup() {
    return new OutputLengthEstimator.RequestGroup(account().name(), model());
  }

  /**
   * Returns the admitted request.
   *
   * @param traceParent the trace context for the next hop, or null
   * @return the request
   */
  public RequestSpec toSpec(@Nullable String traceParent) {
    return new RequestSpec(
        account().name(),
        tier(),
        pool().name(),
        rule != null && rule.nonIdempotent(),
        key,
        cost,
        call(),
        traceParent);
  }

  /**
   * Returns the request's tier.
   *
   * @return the tier that the rule names, or else the account's
   */
  public Tier tier() {
    RuleSpec current = rule;
    String ruleTier = current == null ? null : current.tier();
    return configuration.tierNamed(ruleTier == null ? account().tier() : ruleTier);
  }

  private static <T> T present(@Nullable T value, String what) {
    if (value == null) {
      throw new IllegalStateException(what + " not known yet");
    }
    return value;
  }
}
