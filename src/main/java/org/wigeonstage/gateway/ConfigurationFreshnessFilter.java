package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.Optional;
import org.wigeonstage.common.ErrorCode;

/** Rejects requests while the configuration is unknown, or too old for its keys to be trusted. */
final class ConfigurationFreshnessFilter implements InboundFilter {

  private static final Duration RETRY_AFTER = Duration.ofMillis(500);

  private final ConfigurationState configuration;

  ConfigurationFreshnessFilter(ConfigurationState configuration) {
    this.configuration = configuration;
  }

  @Override
  public Optional<Rejection> apply(InboundRequest request) {
    if (configuration.current().isEmpty()) {
      return unavailable("no configuration is known yet");
    }
    if (!configuration.isFresh()) {
      return unavailable("the gateway could not confirm its configuration with the store recently");
    }
    request.setTable(configuration.current().get().table());
    return Optional.empty();
  }

  private static Optional<Rejection> unavailable(String detail) {
    return Optional.of(
        Rejection.retryable(ErrorCode.CONFIGURATION_UNCONFIRMED, detail, RETRY_AFTER));
  }
}
