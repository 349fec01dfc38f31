package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.Optional;
import org.wigeonstage.common.ErrorCode;

/** Ends requests while the configuration is unknown or too old to trust its keys. */
final class ConfigurationFreshnessFilter implements InboundFilter {

  private static final Duration RETRY_AFTER = Duration.ofMillis(500);

  private final ConfigurationState beliefs;

  ConfigurationFreshnessFilter(ConfigurationState beliefs) {
    this.beliefs = beliefs;
  }

  @Override
  public Optional<Rejection> apply(InboundRequest call) {
    if (beliefs.routing().isEmpty()) {
      return unavailable("no configuration is known yet");
    }
    if (!beliefs.isRoutingFresh()) {
      return unavailable("the configuration was not confirmed for too long");
    }
    call.table(beliefs.routing().get().table());
    return Optional.empty();
  }

  private static Optional<Rejection> unavailable(String detail) {
    return Optional.of(
        Rejection.retryable(ErrorCode.CONFIGURATION_UNCONFIRMED, detail, RETRY_AFTER));
  }
}
