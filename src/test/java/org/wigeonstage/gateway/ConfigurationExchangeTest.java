package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.wigeonstage.common.ClockReading;
import org.wigeonstage.fleet.KnownConfiguration;
import org.wigeonstage.fleet.StoreVersion;
import org.wigeonstage.fleet.StoredConfiguration;
import org.wigeonstage.routes.ConnectionLimits;
import org.wigeonstage.routes.RoutingTable;

class ConfigurationExchangeTest {

  private static final ClockReading START = new ClockReading(Duration.ZERO, Instant.EPOCH);
  private static final Set<String> NOBODY = Set.of();

  private final ConfigurationState configuration =
      new ConfigurationState(() -> START, Duration.ofSeconds(4));
  private final ConfigurationExchange exchange =
      new ConfigurationExchange(configuration, () -> START, new SplittableRandom(1));

  private void startAfterARestore() {
    configuration.startJoin();
    RoutingTable table =
        new RoutingTable(
            7,
            List.of(),
            List.of(),
            List.of(),
            new ConnectionLimits(1, 1, Duration.ZERO, Duration.ZERO));
    configuration.confirm(new StoredConfiguration(new StoreVersion(2, 80), table), START);
  }

  private static Optional<KnownConfiguration> known(long version) {
    return Optional.of(new KnownConfiguration(new StoreVersion(1, 90), version, 2));
  }

  /**
   * Guards against a started gateway that takes the store's word, because its peer has stated a
   * later configuration before their link was preferred, and does not repeat it.
   */
  @Test
  void whatAPeerStatesBeforeItIsConnectedIsKept() {
    startAfterARestore();
    exchange.recordKnown("peer", known(8));
    exchange.retain(Set.of("peer"));
    assertThat(exchange.nextRequest(NOBODY, Duration.ZERO)).isEmpty();
    exchange.retain(Set.of("peer"));
    assertThat(exchange.hasHeard("peer")).isTrue();
    assertThat(exchange.nextRequest(Set.of("peer"), Duration.ZERO))
        .map(ConfigurationExchange.Request::peer)
        .contains("peer");
  }

  /** Guards against a start that waits for a registered gateway that is gone. */
  @Test
  void joinEndsWhenAPeerNeverAnswers() {
    startAfterARestore();
    assertThat(exchange.update(false, Duration.ZERO)).isFalse();
    Duration almost = ConfigurationExchange.MAX_JOIN_TIME.minusMillis(1);
    assertThat(exchange.update(false, almost)).isFalse();
    assertThat(exchange.update(false, ConfigurationExchange.MAX_JOIN_TIME)).isTrue();
    assertThat(configuration.isFresh()).isTrue();
  }

  /** Guards against a fleet that refuses all requests after all its gateways were killed. */
  @Test
  void joinEndsAtOnceWhenNoPeerHasAConfiguration() {
    startAfterARestore();
    exchange.recordKnown("peer", Optional.empty());
    assertThat(exchange.update(true, Duration.ZERO)).isTrue();
    assertThat(configuration.isFresh()).isTrue();
  }

  /** Guards against a peer that is asked again and again though it does not answer. */
  @Test
  void anotherPeerIsAskedAfterATimeout() {
    startAfterARestore();
    exchange.recordKnown("a", known(8));
    exchange.recordKnown("b", known(8));
    exchange.recordKnown("c", known(7));
    Set<String> connected = Set.of("a", "b", "c");
    String first = exchange.nextRequest(connected, Duration.ZERO).orElseThrow().peer();
    assertThat(exchange.nextRequest(connected, Duration.ofMillis(299))).isEmpty();
    String second =
        exchange.nextRequest(connected, ConfigurationExchange.REQUEST_TIMEOUT).orElseThrow().peer();
    assertThat(List.of(first, second)).containsExactlyInAnyOrder("a", "b");
  }
}
