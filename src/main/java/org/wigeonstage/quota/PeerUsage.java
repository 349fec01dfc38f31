package org.wigeonstage.quota;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The usage of account quotas by a peer, as far as it is known or assumed.
 *
 * <p>While the peer is unresponsive but may be running, it may use its share of each quota at any
 * moment. First, the tolerance bucket is charged for it: each unit of known usage takes further
 * units from the tolerance bucket for the peer. Later, the part of the peer's share of the window
 * that it has not reported counts as used. The actual usage replaces both assumptions when the peer
 * reports again. Not thread-safe.
 */
public final class PeerUsage {

  /** The time after which a peer's last report is out of date; it reports every 50 ms. */
  private static final Duration REPORT_VALIDITY = Duration.ofMillis(400);

  /**
   * The time without a report after which the peer's share of the window is assumed as used. A peer
   * that has just started may miss a few reports.
   */
  private static final Duration USAGE_ASSUMPTION_DELAY = Duration.ofMillis(250);

  /**
   * The time without a report after which the tolerance bucket is charged for the peer: one report
   * is late, since the peer sends one every 50 ms.
   */
  private static final Duration CHARGE_DELAY = Duration.ofMillis(75);

  /**
   * A stopped peer takes longer than this to start. Connections to it are attempted every 500 ms,
   * so that it is found stopped again before this time has passed.
   */
  private static final Duration MIN_START_TIME = Duration.ofMillis(1200);

  /** The interval at which reported usage is sampled: a sixteenth of the usual window of 8 s. */
  private static final Duration SAMPLE_INTERVAL = Duration.ofMillis(500);

  private final AccountQuotas quotas;
  private final long ownIncarnation;
  private final Map<String, Long> reportedUsage = new HashMap<>();
  private final Deque<UsageSample> samples = new ArrayDeque<>();
  private final List<AssumedUsage> assumedUsages = new ArrayList<>();

  /** The incarnation of the peer's last report; 0 if it has not reported yet. */
  private long incarnation;

  private Duration reportedAt;
  private Duration assumeUsageFrom;
  private Duration chargeFrom;

  /**
   * The result of {@link AccountQuotas#startChargingForPeer}; null while nothing is charged for the
   * peer.
   */
  private @Nullable Map<String, Double> chargedUnitsAtStart;

  /** The usage since the peer's start, by account, as known at a point in time. */
  private record UsageSample(Duration at, Map<String, Long> usage) {}

  /** Units that were counted as a part of an unresponsive peer's share of the window. */
  private record AssumedUsage(String account, double units, Duration countedAt) {}

  /**
   * Creates the usage of a peer that has not reported yet.
   *
   * @param quotas the quotas in which the peer's usage is counted
   * @param ownIncarnation the start time of this gateway's process in ms since the epoch, which
   *     tells the runs of a gateway apart; lower incarnations started earlier
   * @param now the current time
   */
  public PeerUsage(AccountQuotas quotas, long ownIncarnation, Duration now) {
    this.quotas = quotas;
    this.ownIncarnation = ownIncarnation;
    this.reportedAt = now;
    this.assumeUsageFrom = now;
    this.chargeFrom = now;
    if (quotas.mayHaveUnknownPeers()) {
      chargedUnitsAtStart = quotas.startChargingForPeer();
    }
  }

  /**
   * Applies a report of the peer. If the peer started before this gateway, its first report also
   * provides the usage before this gateway's start and from then until the report.
   *
   * @param newIncarnation the peer's incarnation
   * @param totalUsage the peer's usage in units since its start, by account
   * @param recentUsage the usage of all gateways in the last window in units, by account; empty if
   *     the peer does not know it
   * @param toleratedBurstUsed the used part of each account's tolerated burst in units, by account;
   *     empty if the peer does not know it
   * @param now the current time
   */
  public void applyReport(
      long newIncarnation,
      Map<String, Long> totalUsage,
      Map<String, Long> recentUsage,
      Map<String, Long> toleratedBurstUsed,
      Duration now) {
    boolean reportsEarlierUsage = newIncarnation < ownIncarnation && !toleratedBurstUsed.isEmpty();
    if (incarnation == 0 && reportsEarlierUsage) {
      stopChargingForPeer(now);
      quotas.applyEarlierUsage(recentUsage, toleratedBurstUsed, now);
    }
    boolean isLate = newIncarnation == incarnation && !isUsageKnown(now);
    applyTotalUsage(newIncarnation, totalUsage, isLate ? toleratedBurstUsed : Map.of(), now);
  }

  /**
   * Applies the usage of the peer since its start. What it used before this gateway's start is not
   * counted again if another peer has already reported it as earlier usage.
   *
   * @param newIncarnation the peer's incarnation; its counts restart at zero with each
   * @param totalUsage the peer's usage in units since its start, by account
   * @param now the current time
   */
  public void applyTotalUsage(long newIncarnation, Map<String, Long> totalUsage, Duration now) {
    applyTotalUsage(newIncarnation, totalUsage, Map.of(), now);
  }

  /**
   * Applies the usage of the peer since its start.
   *
   * @param burstUsedOfLateReport if the report follows missing ones, the used part of each
   *     account's tolerated burst in units; otherwise empty
   */
  private void applyTotalUsage(
      long newIncarnation,
      Map<String, Long> totalUsage,
      Map<String, Long> burstUsedOfLateReport,
      Duration now) {
    if (newIncarnation != incarnation) {
      // Earlier usage, once applied, is that of all gateways, including this peer.
      boolean isInEarlierUsage =
          incarnation == 0 && newIncarnation < ownIncarnation && quotas.hasAppliedEarlierUsage();
      incarnation = newIncarnation;
      reportedUsage.clear();
      samples.clear();
      if (isInEarlierUsage) {
        reportedUsage.putAll(totalUsage);
      }
      samples.addLast(new UsageSample(now, Map.copyOf(reportedUsage)));
    }
    stopChargingForPeer(now);
    totalUsage.forEach(
        (account, units) -> {
          long before = reportedUsage.getOrDefault(account, 0L);
          Long burstUsed = burstUsedOfLateReport.get(account);
          if (burstUsed != null && units >= before) {
            quotas.addLatePeerUsage(account, units - before, burstUsed, now);
          } else {
            quotas.addPeerUsage(account, units - before, now);
          }
          reportedUsage.put(account, units);
        });
    sample(now);
    removeAssumedUsage(now);
    reportedAt = now;
    assumeUsageFrom = now.plus(USAGE_ASSUMPTION_DELAY);
    chargeFrom = now.plus(CHARGE_DELAY);
  }

  private void sample(Duration now) {
    if (samples.isEmpty() || now.minus(samples.getLast().at()).compareTo(SAMPLE_INTERVAL) >= 0) {
      samples.addLast(new UsageSample(now, Map.copyOf(reportedUsage)));
    }
  }

  private void stopChargingForPeer(Duration now) {
    if (chargedUnitsAtStart != null) {
      quotas.stopChargingForPeer(chargedUnitsAtStart, now);
      chargedUnitsAtStart = null;
    }
  }

  private void removeAssumedUsage(Duration now) {
    assumedUsages.forEach(
        assumed ->
            quotas.removeAssumedUsage(
                assumed.account(), assumed.units(), assumed.countedAt(), now));
    assumedUsages.clear();
  }

  /**
   * Records that the peer is not running, so that nothing is assumed for it until it could have
   * started.
   *
   * @param now the current time
   */
  public void markStopped(Duration now) {
    stopChargingForPeer(now);
    removeAssumedUsage(now);
    reportedAt = now;
    assumeUsageFrom = now.plus(MIN_START_TIME);
    chargeFrom = assumeUsageFrom;
  }

  /**
   * Stops charging for a peer that has left the deployment. Its assumed usage is not removed, and
   * leaves the window with time.
   *
   * @param now the current time
   */
  public void forget(Duration now) {
    stopChargingForPeer(now);
  }

  /**
   * Updates the assumptions for an unresponsive peer. No share of the window is assumed for a peer
   * that has never reported: a restarted gateway already limits the total usage of all gateways
   * since its start.
   *
   * @param gateways the number of gateways that share the quotas
   * @param now the current time
   */
  public void tick(int gateways, Duration now) {
    quotas.updateGatewayCount(gateways);
    boolean mayRun = incarnation != 0 || quotas.mayHaveUnknownPeers();
    if (mayRun && chargedUnitsAtStart == null && now.compareTo(chargeFrom) >= 0) {
      chargedUnitsAtStart = quotas.startChargingForPeer();
    }
    if (incarnation == 0 || now.compareTo(assumeUsageFrom) < 0) {
      return;
    }
    Duration windowStart = now.minus(quotas.window());
    assumedUsages.removeIf(assumed -> assumed.countedAt().compareTo(windowStart) <= 0);
    quotas
        .maxUnitsPerWindow()
        .forEach(
            (account, maxUnits) -> {
              double units = maxUnits / gateways - countedInWindow(account, windowStart);
              if (units > 0) {
                quotas.addAssumedUsage(account, units, now);
                assumedUsages.add(new AssumedUsage(account, units, now));
              }
            });
  }

  /**
   * Returns the reported and assumed units that count as the peer's usage in the window. Reported
   * usage before the first sample in the window is left out, so that the assumption is too high
   * rather than too low.
   */
  private double countedInWindow(String account, Duration windowStart) {
    while (!samples.isEmpty() && samples.getFirst().at().compareTo(windowStart) < 0) {
      samples.removeFirst();
    }
    long total = reportedUsage.getOrDefault(account, 0L);
    double counted =
        samples.isEmpty() ? 0 : total - samples.getFirst().usage().getOrDefault(account, 0L);
    for (AssumedUsage assumed : assumedUsages) {
      counted += assumed.account().equals(account) ? assumed.units() : 0;
    }
    return counted;
  }

  /**
   * Returns whether the peer's usage is known: it has reported recently, or is stopped.
   *
   * @param now the current time
   * @return whether it has reported or was found stopped in the last 400 ms; also true for the
   *     first 400 ms after it was listed, in which its first report may arrive
   */
  public boolean isUsageKnown(Duration now) {
    return now.minus(reportedAt).compareTo(REPORT_VALIDITY) < 0;
  }
}
