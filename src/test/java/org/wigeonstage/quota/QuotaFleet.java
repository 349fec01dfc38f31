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
 * Gateways that share the quota of one account, on a simulated clock. They report to each other as
 * {@code PeerSynchronizer} does: every 50 ms over links that take a while to come up after a start.
 */
final class QuotaFleet {

  static final String SHOP = "shop";
  static final int STEP_MILLIS = 10;

  private static final int STEPS_PER_SECOND = 1000 / STEP_MILLIS;
  private static final int SEND_STEPS = 5;
  private static final int CONNECT_STEPS = 50;
  private static final int MAX_LATENCY_STEPS = 3;

  /** The list of gateways is read every 5 s, and first within a fifth of a second of a start. */
  private static final int LISTING_STEPS = 500;

  private static final int MAX_LISTING_STEPS = 20;

  private static final int MIN_LINK_STEPS = 20;
  private static final int MAX_LINK_STEPS = 100;

  private final AccountQuota quota;
  private final QuotaTolerance tolerance;
  private final Random random;
  private final @Nullable Gateway[] gateways;
  private final int[] startsAt;
  private final int[] cutUntil;
  private final boolean[] isListed;
  private final List<List<Report>> underway = new ArrayList<>();
  private final List<long[]> served = new ArrayList<>();
  private long asked;
  private int step;

  /** What a gateway tells another one. */
  private record Report(int from, Gateway sender, int to, Map<String, Long> used, Lately lately) {}

  /** What a gateway tells of the use before a receiver's start. */
  private record Lately(Map<String, Long> used, Map<String, Long> burstUsed) {}

  /** A process; another one follows it after a restart. */
  private static final class Gateway {

    private final AccountQuotas quotas;
    private final long incarnation;
    private int listsAt;
    private final @Nullable PeerUsage[] peers;
    private final int[] linkedAt;

    Gateway(AccountQuotas quotas, long incarnation, int listsAt, int count) {
      this.quotas = quotas;
      this.incarnation = incarnation;
      this.listsAt = listsAt;
      this.peers = new PeerUsage[count];
      this.linkedAt = new int[count];
    }
  }

  QuotaFleet(int count, AccountQuota quota, QuotaTolerance tolerance, Random random) {
    this.quota = quota;
    this.tolerance = tolerance;
    this.random = random;
    this.gateways = new Gateway[count];
    this.startsAt = new int[count];
    this.cutUntil = new int[count];
    this.isListed = new boolean[count];
    for (int i = 0; i <= MAX_LATENCY_STEPS; i++) {
      underway.add(new ArrayList<>());
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

  /** Kills a gateway, which starts again after a while. */
  void kill(int index, Duration downFor) {
    gateways[index] = null;
    startsAt[index] = step + 1 + (int) (downFor.toMillis() / STEP_MILLIS);
  }

  /** Takes a gateway out of the fleet before any time has passed, as if it was never there. */
  void takeOut(int index) {
    remove(index, false);
    isListed[index] = false;
    for (Gateway gateway : gateways) {
      if (gateway != null) {
        gateway.peers[index] = null;
      }
    }
  }

  /**
   * Ends a gateway for good.
   *
   * @param isHostGone whether nobody refuses connections to it either
   */
  void remove(int index, boolean isHostGone) {
    gateways[index] = null;
    startsAt[index] = Integer.MAX_VALUE;
    cutUntil[index] = isHostGone ? Integer.MAX_VALUE : 0;
  }

  /** Kills all gateways; each starts again within a while. */
  void killAll(Duration downForAtMost) {
    for (int i = 0; i < count(); i++) {
      kill(i, Duration.ofMillis(random.nextInt((int) downForAtMost.toMillis())));
    }
  }

  /** Keeps a gateway from hearing the others and from being heard by them. */
  void cutOff(int index, Duration duration) {
    cutUntil[index] = step + (int) (duration.toMillis() / STEP_MILLIS);
  }

  /** Lets time pass, while the account asks for units at a steady rate. */
  void run(Duration duration, double unitsPerSecond, int maxUnits) {
    int until = step + (int) (duration.toMillis() / STEP_MILLIS);
    double open = 0;
    while (step < until) {
      step++;
      startThoseThatAreDue();
      deliver();
      exchange();
      open += unitsPerSecond / STEPS_PER_SECOND;
      while (open > 0) {
        int units = 1 + random.nextInt(maxUnits);
        open -= units;
        ask(units);
      }
    }
  }

  private void ask(int units) {
    asked += units;
    Gateway gateway = gateways[random.nextInt(count())];
    if (gateway != null && gateway.quotas.tryAcquire(SHOP, units, true, now())) {
      served.add(new long[] {now().toMillis(), units});
    }
  }

  private void startThoseThatAreDue() {
    for (int i = 0; i < count(); i++) {
      if (gateways[i] == null && step >= startsAt[i]) {
        start(i, false);
      }
    }
  }

  private void start(int index, boolean isFirstStart) {
    AccountQuotas quotas = new AccountQuotas(tolerance, isFirstStart, now());
    quotas.applyAccounts(List.of(new ClientAccount(SHOP, Set.of(), 0, quota)), now());
    Gateway gateway =
        new Gateway(
            quotas, 1000 + now().toMillis(), step + random.nextInt(MAX_LISTING_STEPS), count());
    gateways[index] = gateway;
    isListed[index] = true;
    for (int other = 0; other < count(); other++) {
      int linkedAt = step + MIN_LINK_STEPS + random.nextInt(MAX_LINK_STEPS - MIN_LINK_STEPS);
      gateway.linkedAt[other] = linkedAt;
      Gateway peer = gateways[other];
      if (peer != null) {
        peer.linkedAt[index] = linkedAt;
      }
    }
  }

  private void deliver() {
    List<Report> due = underway.set(step % underway.size(), new ArrayList<>());
    for (Report report : due) {
      Gateway receiver = gateways[report.to()];
      if (receiver != null && gateways[report.from()] == report.sender()) {
        take(receiver, report);
      }
    }
  }

  private void take(Gateway receiver, Report report) {
    PeerUsage peer = peer(receiver, report.from());
    peer.applyReport(
        report.sender().incarnation,
        report.used(),
        report.lately().used(),
        report.lately().burstUsed(),
        now());
  }

  private PeerUsage peer(Gateway gateway, int index) {
    PeerUsage peer = gateway.peers[index];
    if (peer == null) {
      peer = new PeerUsage(gateway.quotas, gateway.incarnation, now());
      gateway.peers[index] = peer;
    }
    return peer;
  }

  private void exchange() {
    for (int i = 0; i < count(); i++) {
      Gateway gateway = gateways[i];
      if (gateway == null || (step + i) % SEND_STEPS != 0) {
        continue;
      }
      Map<String, Long> used = gateway.quotas.ownUsage();
      boolean canTell = gateway.quotas.knowsEarlierUsage(now());
      Lately lately =
          canTell
              ? new Lately(gateway.quotas.recentUsage(now()), gateway.quotas.burstUsed(now()))
              : new Lately(Map.of(), Map.of());
      if (step >= gateway.listsAt) {
        list(gateway, i);
      }
      for (int to = 0; to < count(); to++) {
        if (gateway.peers[to] != null) {
          maintain(i, gateway, to, used, lately);
        }
      }
    }
  }

  private void list(Gateway gateway, int index) {
    gateway.listsAt = step + LISTING_STEPS;
    gateway.quotas.markGatewaysListed();
    for (int other = 0; other < count(); other++) {
      if (other != index && isListed[other]) {
        peer(gateway, other);
      }
    }
  }

  private void maintain(int from, Gateway gateway, int to, Map<String, Long> used, Lately lately) {
    PeerUsage peer = peer(gateway, to);
    int known = (int) Arrays.stream(gateway.peers).filter(Objects::nonNull).count();
    peer.tick(1 + known, now());
    boolean isCut = cutUntil[from] > step || cutUntil[to] > step;
    if (gateways[to] == null) {
      if (!isCut && (step / SEND_STEPS) % (CONNECT_STEPS / SEND_STEPS) == to % 10) {
        peer.markStopped(now());
      }
    } else if (!isCut && step >= gateway.linkedAt[to]) {
      int arrivesAt = step + 1 + random.nextInt(MAX_LATENCY_STEPS);
      underway.get(arrivesAt % underway.size()).add(new Report(from, gateway, to, used, lately));
    }
  }

  long asked() {
    return asked;
  }

  /** Returns what was passed on from a time until now. */
  long servedSince(Duration start) {
    return served.stream().filter(use -> use[0] > start.toMillis()).mapToLong(use -> use[1]).sum();
  }

  /** Asserts the stated target: what operators tolerate, in every window. */
  void assertNoWindowAboveWhatIsTolerated() {
    double seconds = tolerance.window().toMillis() / 1e3;
    double nominal = quota.perSecond() * seconds + quota.burst();
    double tolerated = nominal * (1 + tolerance.overage()) + tolerance.slack();
    assertThat((double) mostInAnyWindow()).isLessThanOrEqualTo(tolerated);
  }

  long mostInAnyWindow() {
    int first = 0;
    long sum = 0;
    long most = 0;
    for (long[] use : served) {
      sum += use[1];
      while (served.get(first)[0] <= use[0] - tolerance.window().toMillis()) {
        sum -= served.get(first)[1];
        first++;
      }
      most = Math.max(most, sum);
    }
    return most;
  }
}
