package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonstage.common.ClockReading;
import org.wigeonstage.fleet.ConfigurationReport;
import org.wigeonstage.fleet.KnownConfiguration;
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

  /** Guards against requests that are refused after a restore that has lost nothing. */
  @Test
  void equalConfigurationOfRestoredStoreConfirmsTheOneInForceIfTheStoreWasFollowed() {
    StoredConfiguration inForce = stored(0, 90, 7);
    configuration.confirm(inForce, now());
    advance(Duration.ofMillis(4300), Duration.ofMillis(4300));
    assertThat(configuration.isFresh()).isFalse();
    assertThat(configuration.confirm(stored(1, 80, 7), now())).isFalse();
    assertThat(configuration.isFresh()).isTrue();
    assertThat(configuration.current().orElseThrow().table()).isSameAs(inForce.table());
    assertThat(configuration.confirm(stored(1, 79, 6), now())).isFalse();
    assertThat(configuration.confirm(stored(1, 81, 8), now())).isTrue();
  }

  /**
   * Guards against a removed key that works again: the store turned the gateway away while a later
   * version removed the key, which the restored store has lost.
   */
  @Test
  void equalConfigurationOfRestoredStoreDoesNotConfirmIfTheStoreWasNotFollowed() {
    configuration.confirm(stored(0, 90, 7), now());
    advance(Duration.ofSeconds(5), Duration.ofSeconds(5));
    assertThat(configuration.confirm(stored(1, 80, 7), now())).isFalse();
    assertThat(configuration.isFresh()).isFalse();
    assertThat(configuration.needsReport()).isTrue();
    assertThat(configuration.confirm(stored(1, 85, 8), now())).isTrue();
    assertThat(configuration.isFresh()).isTrue();
    assertThat(configuration.needsReport()).isFalse();
  }

  /**
   * Guards against requests that are refused because the operator has written 7 again as it was.
   */
  @Test
  void configurationThatIsWrittenAgainConfirmsTheOneInForce() {
    configuration.confirm(stored(0, 90, 7), now());
    advance(Duration.ofSeconds(5), Duration.ofSeconds(5));
    configuration.confirm(stored(1, 80, 6), now());
    assertThat(configuration.isFresh()).isFalse();
    assertThat(configuration.confirm(stored(1, 81, 7), now())).isFalse();
    assertThat(configuration.isFresh()).isTrue();
  }

  /** Guards against a gateway that can reach no peer and refuses all requests for good. */
  @Test
  void eraCountsAsSettledWhenOperatorsHaveHadTimeToWriteAgain() {
    configuration.confirm(stored(0, 90, 7), now());
    advance(Duration.ofSeconds(5), Duration.ofSeconds(5));
    configuration.confirm(stored(1, 80, 7), now());
    Duration almost = ConfigurationState.SETTLING_TIME.minusMillis(1);
    advance(almost, almost);
    configuration.confirm(stored(1, 80, 7), now());
    assertThat(configuration.isFresh()).isFalse();
    advance(Duration.ofMillis(1), Duration.ofMillis(1));
    configuration.confirm(stored(1, 80, 7), now());
    assertThat(configuration.isFresh()).isTrue();
  }

  /** Guards against requests that are refused until the operator writes a lost version again. */
  @Test
  void earlierConfigurationOfRestoredStoreConfirmsALaterOneIfTheStoreWasFollowed() {
    configuration.confirm(stored(0, 90, 8), now());
    advance(Duration.ofSeconds(3), Duration.ofSeconds(3));
    assertThat(configuration.confirm(stored(1, 80, 7), now())).isFalse();
    for (int i = 0; i < 5; i++) {
      advance(Duration.ofSeconds(3), Duration.ofSeconds(3));
      assertThat(configuration.isFresh()).isTrue();
      assertThat(configuration.confirm(stored(1, 80, 7), now())).isFalse();
    }
    assertThat(configuration.current().orElseThrow().table().version()).isEqualTo(8);
  }

  /** Guards against a version that operators write again with another content, and that is lost. */
  @Test
  void sameVersionWithOtherContentReplacesTheOneInForce() {
    configuration.confirm(stored(0, 90, 7), now());
    ConnectionLimits limits = new ConnectionLimits(2, 2, Duration.ZERO, Duration.ZERO);
    RoutingTable written = new RoutingTable(7, List.of(), List.of(), List.of(), limits);
    configuration.confirm(stored(1, 80, 6), now());
    assertThat(
            configuration.confirm(new StoredConfiguration(new StoreVersion(1, 81), written), now()))
        .isTrue();
    assertThat(configuration.current().orElseThrow().table()).isSameAs(written);
  }

  private static KnownConfiguration known(long era, long revision, long version, long settledEra) {
    return new KnownConfiguration(new StoreVersion(era, revision), version, settledEra);
  }

  private static ConfigurationReport report(KnownConfiguration known, Duration age) {
    StoredConfiguration stored =
        stored(known.version().era(), known.version().revision(), known.tableVersion());
    return new ConfigurationReport(known, age, stored.table());
  }

  /** Guards against a removed key that works again at a gateway that a peer has contradicted. */
  @Test
  void laterConfigurationOfAPeerFromBeforeTheRestoreInvalidatesTheOneInForce() {
    configuration.confirm(stored(1, 80, 7), now());
    assertThat(configuration.isFresh()).isTrue();
    configuration.recordKnown(known(0, 90, 8, 1));
    assertThat(configuration.isFresh()).isFalse();
    assertThat(configuration.needsReport()).isTrue();
    assertThat(configuration.adopt(report(known(0, 90, 8, 1), Duration.ZERO), now())).isTrue();
    assertThat(configuration.isFresh()).isTrue();
    assertThat(configuration.needsReport()).isFalse();
  }

  /** Guards against requests that are refused whenever a peer reads a change first. */
  @Test
  void laterConfigurationOfAPeerInTheSameEraIsAwaitedFromTheStore() {
    configuration.confirm(stored(1, 80, 7), now());
    configuration.recordKnown(known(1, 90, 8, 1));
    assertThat(configuration.isFresh()).isTrue();
    assertThat(configuration.needsReport()).isFalse();
  }

  /** Guards against a removed key that works for longer because a report was under way. */
  @Test
  void ageOfAReportCountsFromItsRequest() {
    ClockReading requestedAt = now();
    advance(Duration.ofSeconds(2), Duration.ofSeconds(2));
    Duration age = Duration.ofMillis(1500);
    assertThat(configuration.adopt(report(known(1, 90, 8, 1), age), requestedAt)).isTrue();
    assertThat(configuration.age()).contains(Duration.ofMillis(3500));
    advance(Duration.ofMillis(500), Duration.ofMillis(500));
    assertThat(configuration.isFresh()).isFalse();
  }

  /** Guards against a started gateway that takes the earlier configuration of a restored store. */
  @Test
  void startedGatewayHasNoConfigurationUntilAPeerHasReported() {
    configuration.startJoin();
    assertThat(configuration.confirm(stored(1, 80, 7), now())).isFalse();
    assertThat(configuration.current()).isEmpty();
    assertThat(configuration.recordKnown(known(0, 90, 8, 1))).isFalse();
    assertThat(configuration.needsReport()).isTrue();
    assertThat(configuration.adopt(report(known(0, 90, 8, 1), Duration.ZERO), now())).isTrue();
    assertThat(configuration.isJoining()).isFalse();
    assertThat(configuration.current().orElseThrow().table().version()).isEqualTo(8);
    advance(Duration.ofSeconds(3), Duration.ofSeconds(3));
    configuration.confirm(stored(1, 80, 7), now());
    advance(Duration.ofSeconds(3), Duration.ofSeconds(3));
    assertThat(configuration.isFresh()).isTrue();
  }

  /** Guards against configurations that are sent between gateways at each ordinary restart. */
  @Test
  void startedGatewayNeedsNoReportIfAPeerHasNothingLater() {
    configuration.startJoin();
    configuration.confirm(stored(1, 80, 7), now());
    assertThat(configuration.recordKnown(known(1, 80, 7, 1))).isTrue();
    assertThat(configuration.isFresh()).isTrue();
    assertThat(configuration.needsReport()).isFalse();
  }

  /** Guards against a gateway without peers that never serves. */
  @Test
  void startedGatewayTakesTheStoresConfigurationAtTheEndOfItsJoin() {
    configuration.startJoin();
    assertThat(configuration.confirm(stored(1, 80, 7), now())).isFalse();
    assertThat(configuration.endJoin()).isTrue();
    assertThat(configuration.isFresh()).isTrue();
  }

  /** Guards against a start that waits for peers though the store can't be restored. */
  @Test
  void startedGatewayWaitsForNobodyIfTheStoreStatesNoEra() {
    configuration.startJoin();
    assertThat(configuration.confirm(revision(5), now())).isTrue();
    assertThat(configuration.isFresh()).isTrue();
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
