package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonstage.common.ClockReading;
import org.wigeonstage.fleet.StoreVersion;
import org.wigeonstage.fleet.StoredConfiguration;
import org.wigeonstage.routes.ConnectionLimits;
import org.wigeonstage.routes.RoutingTable;

class ConfigurationStateTest {

  /**
   * The time of a call beyond the maximum watch time. Two calls take less than the smallest maximum
   * age in the tests: 2 * (0.4 * 500 ms + 45 ms) = 490 ms.
   */
  private static final Duration CALL_OVERHEAD = Duration.ofMillis(45);

  private Duration monotonic = Duration.ofSeconds(100);
  private Instant wallClock = Instant.parse("2026-12-04T00:00:00Z");
  private final ConfigurationState configuration =
      new ConfigurationState(() -> new ClockReading(monotonic, wallClock), Duration.ofSeconds(4));

  private static StoredConfiguration revision(long revision) {
    return stored(0, revision, revision);
  }

  private static StoredConfiguration stored(long era, long revision, long tableVersion) {
    ConnectionLimits limits = new ConnectionLimits(1, 1, Duration.ZERO, Duration.ZERO);
    return new StoredConfiguration(
        new StoreVersion(era, revision),
        new RoutingTable(tableVersion, List.of(), List.of(), List.of(), limits));
  }

  private ClockReading now() {
    return new ClockReading(monotonic, wallClock);
  }

  private void advance(Duration monotonicTime, Duration wallClockTime) {
    monotonic = monotonic.plus(monotonicTime);
    wallClock = wallClock.plus(wallClockTime);
  }

  @Test
  void isUnknownBeforeTheFirstConfirmation() {
    assertThat(configuration.isFresh()).isFalse();
    assertThat(configuration.current()).isEmpty();
  }

  @Test
  void ageCountsFromTheCallToTheStore() {
    ClockReading requestedAt = now();
    advance(Duration.ofSeconds(3), Duration.ofSeconds(3));
    assertThat(configuration.confirm(revision(1), requestedAt)).isTrue();
    assertThat(configuration.isFresh()).isTrue();
    advance(Duration.ofSeconds(1), Duration.ofSeconds(1));
    assertThat(configuration.isFresh()).isFalse();
  }

  @Test
  void olderRevisionIsIgnored() {
    configuration.confirm(revision(5), now());
    advance(Duration.ofSeconds(5), Duration.ofSeconds(5));
    assertThat(configuration.confirm(revision(4), now())).isFalse();
    assertThat(configuration.current().orElseThrow().version().revision()).isEqualTo(5);
    assertThat(configuration.isFresh()).isFalse();
    assertThat(configuration.confirm(revision(5), now())).isFalse();
    assertThat(configuration.isFresh()).isTrue();
  }

  /** Guards against a removed key that works again because the store was restored. */
  @Test
  void olderConfigurationOfRestoredStoreNeitherReplacesNorConfirms() {
    configuration.confirm(stored(0, 90, 7), now());
    advance(Duration.ofSeconds(5), Duration.ofSeconds(5));
    assertThat(configuration.confirm(stored(1, 80, 5), now())).isFalse();
    assertThat(configuration.confirm(stored(1, 95, 6), now())).isFalse();
    assertThat(configuration.isFresh()).isFalse();
    assertThat(configuration.current().orElseThrow().table().version()).isEqualTo(7);
    assertThat(configuration.confirm(stored(1, 96, 8), now())).isTrue();
    assertThat(configuration.isFresh()).isTrue();
  }

  /** Guards against requests that are refused although the operator has written again. */
  @Test
  void equalConfigurationOfRestoredStoreConfirmsTheOneInForce() {
    StoredConfiguration inForce = stored(0, 90, 7);
    configuration.confirm(inForce, now());
    advance(Duration.ofSeconds(5), Duration.ofSeconds(5));
    assertThat(configuration.confirm(stored(1, 80, 7), now())).isFalse();
    assertThat(configuration.isFresh()).isTrue();
    assertThat(configuration.current().orElseThrow().table()).isSameAs(inForce.table());
    assertThat(configuration.confirm(stored(1, 79, 6), now())).isFalse();
    assertThat(configuration.confirm(stored(1, 81, 8), now())).isTrue();
  }

  /** Guards against a late response of the store before it was restored. */
  @Test
  void configurationOfLowerEraIsIgnored() {
    configuration.confirm(stored(1, 10, 7), now());
    assertThat(configuration.confirm(stored(0, 99, 9), now())).isFalse();
    assertThat(configuration.current().orElseThrow().table().version()).isEqualTo(7);
  }

  /** The monotonic clock does not advance while the host is suspended. */
  @Test
  void isNotFreshAfterTheHostWasSuspended() {
    configuration.confirm(revision(1), now());
    advance(Duration.ZERO, Duration.ofSeconds(6));
    assertThat(configuration.isFresh()).isFalse();
  }

  @Test
  void isNotFreshAfterTheMaximumAgeIfTheWallClockIsSetBack() {
    configuration.confirm(revision(1), now());
    advance(Duration.ofSeconds(5), Duration.ofSeconds(-10));
    assertThat(configuration.isFresh()).isFalse();
  }

  /** A store without changes holds each call for the maximum watch time. */
  @ParameterizedTest
  @ValueSource(ints = {500, 1000, 1800, 4500, 60_000})
  void staysFreshWhileTheStoreHasNoChanges(int maxAgeMillis) {
    configuration.updateMaxAge(Duration.ofMillis(maxAgeMillis));
    configuration.confirm(revision(1), now());
    for (int i = 0; i < 20; i++) {
      ClockReading requestedAt = now();
      Duration callTime = configuration.maxWatchTime(Duration.ofMillis(1200)).plus(CALL_OVERHEAD);
      advance(callTime, callTime);
      assertThat(configuration.isFresh()).isTrue();
      configuration.confirm(revision(1), requestedAt);
    }
  }
}
