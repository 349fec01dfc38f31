package org.wigeonstage.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests the learned figures with servers whose times are computed. */
class PoolCapacityTest {

  private static final int SLOTS = 9;
  private static final int SERVERS = 10;

  private final PoolCapacity pool = new PoolCapacity();
  private final SplittableRandom random = new SplittableRandom(1);
  private Duration now = Duration.ZERO;

  private ServerCapacity server(int index) {
    return pool.server("s" + index, "v1", SLOTS);
  }

  /** Sends a request of random size to a server, whose response begins after a computed time. */
  private void respond(int index, double slowness, boolean isServed) {
    ServerCapacity server = server(index);
    int occupied = random.nextInt(SLOTS);
    long promptTokens = 100 + random.nextInt(6000);
    RunSample sample = server.start(promptTokens, occupied, now);
    double load = (double) occupied / SLOTS;
    double millis = slowness * (30 + 0.02 * promptTokens + 50 * load);
    server.recordFirstPart(sample, Duration.ofNanos((long) (millis * 1e6)));
    server.recordEventGap(slowness * (40 + 10 * load));
    server.end(sample, isServed, occupied, now.plusMillis((long) millis + 1000));
  }

  private void play(long millis, Runnable step) {
    Duration end = now.plusMillis(millis);
    while (now.compareTo(end) < 0) {
      step.run();
      now = now.plusMillis(100);
      pool.update(now);
    }
  }

  private void respondFromAll() {
    for (int i = 0; i < SERVERS; i++) {
      respond(i, 1, true);
    }
  }

  @Test
  void learnsFiguresThatDifferFromTheAssumedOnes() {
    play(10_000, this::respondFromAll);
    assertThat(server(0).prefillMillisPerToken()).isCloseTo(0.02, within(0.002));
    assertThat(server(0).firstPartMillis(0, 0)).isCloseTo(30, within(8.0));
    assertThat(server(0).eventGapMillis(SLOTS)).isCloseTo(50, within(5.0));
  }

  /** Guards against sending new servers a burst of requests because they look instant. */
  @Test
  void newServerStartsWithFiguresOfItsVersion() {
    play(5000, this::respondFromAll);
    pool.update(now);
    ServerCapacity added = pool.server("new", "v1", SLOTS);
    ServerCapacity ofNewVersion = pool.server("other", "v2", SLOTS);
    double usual = server(0).firstPartMillis(1000, 2);
    assertThat(added.firstPartMillis(1000, 2)).isCloseTo(usual, within(0.15 * usual));
    assertThat(ofNewVersion.firstPartMillis(1000, 2)).isCloseTo(usual, within(0.15 * usual));
    assertThat(added.limit()).isEqualTo(SLOTS);
  }

  /** Guards against sending most requests to a server that rejects them in a millisecond. */
  @Test
  void serverThatAnswersFastBecauseItFailsDoesNotSeemFast() {
    play(5000, this::respondFromAll);
    play(
        5000,
        () -> {
          respond(0, 0.02, false);
          for (int i = 1; i < SERVERS; i++) {
            respond(i, 1, true);
          }
        });
    double others = server(1).firstPartMillis(1000, 0);
    assertThat(server(0).firstPartMillis(1000, 0)).isGreaterThan(0.9 * others);
  }

  @Test
  void firstPartThatIsOverdueCountsBeforeItArrives() {
    play(5000, this::respondFromAll);
    for (int i = 0; i < 6; i++) {
      server(0).start(1000, 3, now);
    }
    double before = server(0).firstPartMillis(1000, 0);
    play(1500, () -> {});
    assertThat(server(0).firstPartMillis(1000, 0)).isGreaterThan(1.5 * before);
    assertThat(server(0).limit()).isLessThan(SLOTS);
  }

  @Test
  void gatewayThatIsItselfSlowReportsNoServer() {
    play(5000, this::respondFromAll);
    pool.takeReports(100, now);
    play(
        3000,
        () -> {
          for (int i = 0; i < SERVERS; i++) {
            respond(i, 4, true);
          }
        });
    assertThat(pool.takeReports(100, now)).isEmpty();
    assertThat(server(0).limit()).isEqualTo(SLOTS);
  }

  @Test
  void reportsSlowServerAndItsRecovery() {
    play(5000, this::respondFromAll);
    pool.takeReports(100, now);
    play(2000, () -> respondWithFirstAt(4));
    List<SpeedReport> reports = pool.takeReports(100, now);
    assertThat(reports).extracting(SpeedReport::runId).containsExactly("s0");
    assertThat(reports.get(0).slownessPercent()).isGreaterThan(200);
    play(4000, this::respondFromAll);
    List<SpeedReport> later = pool.takeReports(100, now);
    assertThat(later).extracting(SpeedReport::runId).containsExactly("s0");
    assertThat(later.get(0).slownessPercent()).isLessThan(130);
  }

  private void respondWithFirstAt(double slowness) {
    respond(0, slowness, true);
    for (int i = 1; i < SERVERS; i++) {
      respond(i, 1, true);
    }
  }

  /** Also a restarted gateway, which has no evidence of its own. */
  @Test
  void takesReportsOfPeersUntilTheyExpire() {
    for (int i = 0; i < SERVERS; i++) {
      server(i);
    }
    play(400, () -> {});
    pool.applyReport("peer", new SpeedReport("s0", 400, 300), now);
    pool.applyReport("peer", new SpeedReport("unknown", 400, 300), now);
    play(600, () -> {});
    assertThat(server(0).limit()).isLessThan(SLOTS);
    assertThat(server(0).firstPartMillis(0, 0)).isGreaterThan(2 * server(1).firstPartMillis(0, 0));
    play(8000, () -> {});
    assertThat(server(0).limit()).isEqualTo(SLOTS);
  }

  /** Guards against a peer whose reports are wrong, or say so of every server. */
  @Test
  void reportsAboutAllServersCutNoLimit() {
    for (int i = 0; i < SERVERS; i++) {
      server(i);
      pool.applyReport("peer", new SpeedReport("s" + i, Integer.MAX_VALUE, -1), now);
      pool.applyReport("other", new SpeedReport("s" + i, 800, 500), now);
    }
    play(1000, () -> {});
    for (int i = 0; i < SERVERS; i++) {
      assertThat(server(i).limit()).isEqualTo(SLOTS);
    }
  }

  @Test
  void serverThatIsSlowAtAnyLoadKeepsItsProportionalLimit() {
    play(5000, this::respondFromAll);
    play(4000, () -> respondWithFirstAt(3));
    int lowest = SLOTS;
    for (int i = 0; i < 10; i++) {
      play(1000, () -> respondWithFirstAt(3));
      lowest = Math.min(lowest, server(0).limit());
    }
    assertThat(lowest).isGreaterThanOrEqualTo(3);
    assertThat(server(0).limit()).isBetween(3, 5);
  }
}
