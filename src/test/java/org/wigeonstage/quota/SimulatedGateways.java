package org.wigeonstage.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.routes.AccountQuota;
import org.wigeonstage.routes.ClientAccount;

/**
 * Simulates gateways that share the quota of one account, on a simulated clock. Like {@code
 * PeerSynchronizer}, they report to each other every 50 ms over links that take 200 to 1000 ms to
 * come up after a start.
 */
final class SimulatedGateways {

  static final String SHOP = "shop";
  static final int STEP_MILLIS = 10;

  private static final int STEPS_PER_SECOND = 1000 / STEP_MILLIS;

  /** Gateways report to each other every 50 ms. */
  private static final int REPORT_INTERVAL_STEPS = 5;

  /** Gateways try to connect to peers without a link every 500 ms. */
  private static final int CONNECT_INTERVAL_STEPS = 50;

  /** Reports take 10 to 30 ms. */
  private static final int MAX_LATENCY_STEPS = 3;

  /** The list of gateways is read every 5 s, and for the first time within 200 ms of a start. */
  private static final int LISTING_INTERVAL_STEPS = 500;

  private static final int MAX_FIRST_LISTING_STEPS = 20;

  /** Links take 200 to 1000 ms to come up after a start. */
  private static final int MIN_LINK_SETUP_STEPS = 20;

  private static final int MAX_LINK_SETUP_STEPS = 100;

  private final AccountQuota quota;
  private final QuotaTolerance tolerance;
  private final Random random;
  private final @Nullable Gateway[] gateways;
  private final int[] startStep;
  private final int[] partitionedUntilStep;
  private final boolean[] isListed;
  private final List<List<Report>> inFlight = new ArrayList<>();
  private final List<long[]> served = new ArrayList<>();
  private long requested;
  private int step;

  /** A report from one gateway to another. */
  private record Report(
      int from, Gateway sender, int to, Map<String, Long> totalUsage, EarlierUsage earlier) {}

  /** The usage that a gateway reports to peers that started later. */
  private record EarlierUsage(
      Map<String, Long> recentUsage, Map<String, Long> toleratedBurstUsed) {}

  /** One gateway process. A restart replaces it with a new instance. */
  private static final class Gateway {

    private final AccountQuotas quotas;
    private final long incarnation;
    private int nextListingStep;
    private final @Nullable PeerUsage[] peers;
    private final int[] linkedFromStep;

    Gateway(AccountQuotas quotas, long incarnation, int nextListingStep, int count) {
      this.quotas = quotas;
      this.incarnation = incarnation;
      this.nextListingStep = nextListingStep;
      this.peers = new PeerUsage[count];
      this.linkedFromStep = new int[count];
    }
  }

  SimulatedGateways(int count, AccountQuota quota, QuotaTolerance tolerance, Random random) {
    this.quota = quota;
    this.tolerance = tolerance;
    this.random = random;
    this.gateways = new Gateway[count];
    this.startStep = new int[count];
    this.partitionedUntilStep = new int[count];
    this.isListed = new boolean[count];
    for (int i = 0; i <= MAX_LATENCY_STEPS; i++) {
      inFlight.add(new ArrayList<>());
    }
    for (int i = 0; i < count; i++) {
      start(i, true);
    }
  }

  Duration now() {
    return Duration.ofMillis((long) step * STEP_MILLIS);
  }

  int count() {
    return gateways.length;
  }

  /** Kills a gateway, which starts again after the given time. */
  void kill(int index, Duration downtime) {
    gateways[index] = null;
    startStep[index] = step + 1 + (int) (downtime.toMillis() / STEP_MILLIS);
  }

  /** Removes a gateway before the simulation starts, as if it had never existed. */
  void exclude(int index) {
    remove(index, false);
    isListed[index] = false;
    for (Gateway gateway : gateways) {
      if (gateway != null) {
        gateway.peers[index] = null;
      }
    }
  }

  /**
   * Removes a gateway permanently.
   *
   * @param isHostRemoved whether its host is removed, too, so that connections to it get no
   *     response instead of being refused
   */
  void remove(int index, boolean isHostRemoved) {
    gateways[index] = null;
    startStep[index] = Integer.MAX_VALUE;
    partitionedUntilStep[index] = isHostRemoved ? Integer.MAX_VALUE : 0;
  }

  /** Kills all gateways; each starts again after a random time up to the given one. */
  void killAll(Duration maxDowntime) {
    for (int i = 0; i < count(); i++) {
      kill(i, Duration.ofMillis(random.nextInt((int) maxDowntime.toMillis())));
    }
  }

  /** Partitions a gateway from all its peers, in both directions. */
  void partition(int index, Duration duration) {
    partitionedUntilStep[index] = step + (int) (duration.toMillis() / STEP_MILLIS);
  }

  /** Advances the clock while the account requests units at a steady rate. */
  void run(Duration duration, double unitsPerSecond, int maxUnits) {
    int endStep = step + (int) (duration.toMillis() / STEP_MILLIS);
    double pendingUnits = 0;
    while (step < endStep) {
      step++;
      startDueGateways();
      deliver();
      sendReports();
      pendingUnits += unitsPerSecond / STEPS_PER_SECOND;
      while (pendingUnits > 0) {
        int units = 1 + random.nextInt(maxUnits);
        pendingUnits -= units;
        request(units);
      }
    }
  }

  private void request(int units) {
    requested += units;
    Gateway gateway = gateways[random.nextInt(count())];
    if (gateway != null && gateway.quotas.tryAcquire(SHOP, units, true, now())) {
      served.add(new long[] {now().toMillis(), units});
    }
  }

  private void startDueGateways() {
    for (int i = 0; i < count(); i++) {
      if (gateways[i] == null && step >= startStep[i]) {
        start(i, false);
      }
    }
  }

  private void start(int index, boolean isFirstStart) {
    AccountQuotas quotas = new AccountQuotas(tolerance, isFirstStart, now());
    quotas.applyAccounts(List.of(new ClientAccount(SHOP, Set.of(), 0, quota)), now());
    Gateway gateway =
        new Gateway(
            quotas,
            1000 + now().toMillis(),
            step + random.nextInt(MAX_FIRST_LISTING_STEPS),
            count());
    gateways[index] = gateway;
    isListed[index] = true;
    for (int other = 0; other < count(); other++) {
      int linkedFromStep =
          step + MIN_LINK_SETUP_STEPS + random.nextInt(MAX_LINK_SETUP_STEPS - MIN_LINK_SETUP_STEPS);
      gateway.linkedFromStep[other] = linkedFromStep;
      Gateway peer = gateways[other];
      if (peer != null) {
        peer.linkedFromStep[index] = linkedFromStep;
      }
    }
  }

  private void deliver() {
    List<Report> arrived = inFlight.set(step % inFlight.size(), new ArrayList<>());
    for (Report report : arrived) {
      Gateway receiver = gateways[report.to()];
      if (receiver != null && gateways[report.from()] == report.sender()) {
        apply(receiver, report);
      }
    }
  }

  private void apply(Gateway receiver, Report report) {
    PeerUsage peer = peerUsage(receiver, report.from());
    peer.applyReport(
        report.sender().incarnation,
        report.totalUsage(),
        report.earlier().recentUsage(),
        report.earlier().toleratedBurstUsed(),
        now());
  }

  private PeerUsage peerUsage(Gateway gateway, int index) {
    PeerUsage peer = gateway.peers[index];
    if (peer == null) {
      peer = new PeerUsage(gateway.quotas, gateway.incarnation, now());
      gateway.peers[index] = peer;
    }
    return peer;
  }

  private void sendReports() {
    for (int i = 0; i < count(); i++) {
      Gateway gateway = gateways[i];
      if (gateway == null || (step + i) % REPORT_INTERVAL_STEPS != 0) {
        continue;
      }
      Map<String, Long> totalUsage = gateway.quotas.ownUsage();
      boolean isEarlierUsageKnown = gateway.quotas.isEarlierUsageKnown(now());
      EarlierUsage earlier =
          isEarlierUsageKnown
              ? new EarlierUsage(
                  gateway.quotas.recentUsage(now()), gateway.quotas.toleratedBurstUsed(now()))
              : new EarlierUsage(Map.of(), Map.of());
      if (step >= gateway.nextListingStep) {
        listGateways(gateway, i);
      }
      for (int to = 0; to < count(); to++) {
        if (gateway.peers[to] != null) {
          updatePeer(i, gateway, to, totalUsage, earlier);
        }
      }
    }
  }

  private void listGateways(Gateway gateway, int index) {
    gateway.nextListingStep = step + LISTING_INTERVAL_STEPS;
    gateway.quotas.markGatewaysListed();
    for (int other = 0; other < count(); other++) {
      if (other != index && isListed[other]) {
        peerUsage(gateway, other);
      }
    }
  }

  private void updatePeer(
      int from, Gateway gateway, int to, Map<String, Long> totalUsage, EarlierUsage earlier) {
    PeerUsage peer = peerUsage(gateway, to);
    int knownPeers = (int) Arrays.stream(gateway.peers).filter(Objects::nonNull).count();
    peer.tick(1 + knownPeers, now());
    boolean isPartitioned = partitionedUntilStep[from] > step || partitionedUntilStep[to] > step;
    if (gateways[to] == null) {
      if (!isPartitioned
          && (step / REPORT_INTERVAL_STEPS) % (CONNECT_INTERVAL_STEPS / REPORT_INTERVAL_STEPS)
              == to % 10) {
        peer.markStopped(now());
      }
    } else if (!isPartitioned && step >= gateway.linkedFromStep[to]) {
      int arrivalStep = step + 1 + random.nextInt(MAX_LATENCY_STEPS);
      inFlight
          .get(arrivalStep % inFlight.size())
          .add(new Report(from, gateway, to, totalUsage, earlier));
    }
  }

  long requested() {
    return requested;
  }

  /** Returns the units served since the given time. */
  long servedSince(Duration start) {
    return served.stream()
        .filter(usage -> usage[0] > start.toMillis())
        .mapToLong(usage -> usage[1])
        .sum();
  }

  /** Asserts that usage exceeds the quota by no more than operators tolerate, in any window. */
  void assertNoWindowExceedsTolerance() {
    double seconds = tolerance.window().toMillis() / 1e3;
    double nominal = quota.unitsPerSecond() * seconds + quota.burstUnits();
    double tolerated = nominal * (1 + tolerance.overageRatio()) + tolerance.slackTokens();
    assertThat((double) maxInAnyWindow()).isLessThanOrEqualTo(tolerated);
  }

  long maxInAnyWindow() {
    int windowStart = 0;
    long sum = 0;
    long max = 0;
    for (long[] usage : served) {
      sum += usage[1];
      while (served.get(windowStart)[0] <= usage[0] - tolerance.window().toMillis()) {
        sum -= served.get(windowStart)[1];
        windowStart++;
      }
      max = Math.max(max, sum);
    }
    return max;
  }
}
