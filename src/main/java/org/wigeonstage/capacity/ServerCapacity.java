package org.wigeonstage.capacity;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The learned speed and concurrency limit of one run of a server: the usual figures of its version,
 * scaled by how slow this server is.
 *
 * <p>A response that is late counts against the server at once. One that is early counts only when
 * it is complete, so that a server that fails fast does not seem fast.
 */
public final class ServerCapacity {

  private static final double NANOS_PER_MILLI = 1e6;

  /** The gap is an average over the events of a response. */
  private static final double GAP_WEIGHT = 2;

  /** A part of a response says less; a slow one takes seconds until it is complete. */
  private static final double PARTIAL_GAP_WEIGHT = 1;

  /** A first part counts as late while it is awaited from this multiple of the usual time on. */
  private static final double OVERDUE_RATIO = 2;

  /**
   * A first part that is less late than this does not count before it arrives: gateways on small
   * hosts read responses tens of milliseconds late.
   */
  private static final double MIN_OVERDUE_MILLIS = 60;

  /** A peer repeats its report of a slow server each second. */
  private static final Duration PEER_REPORT_EXPIRY = Duration.ofMillis(2500);

  /** Bounds the effect of a single peer. */
  private static final double MAX_PEER_WEIGHT = 5;

  private static final double MAX_SLOWNESS = 12;

  /** Shorter gaps are read together, and are not meaningful. */
  private static final double MIN_GAP_MILLIS = 0.1;

  private record PeerEvidence(double logSlowness, double weight, Duration receivedAt) {}

  private final String runId;
  private final SpeedProfile profile;
  private final int slots;
  private final SpeedEvidence evidence = new SpeedEvidence();
  private final SpeedReporter reporter = new SpeedReporter();
  private final ConcurrencyLimiter limiter = new ConcurrencyLimiter();
  private final Map<String, PeerEvidence> peers = new HashMap<>();
  private final Set<RunSample> awaited = new LinkedHashSet<>();
  private double pendingGapMillis;
  private double logMedian;
  private double logRelative;
  private double slowness = 1;
  private int limit;
  private int mostOccupied;
  private int lastOccupied;
  private boolean isReportedLow;

  ServerCapacity(String runId, SpeedProfile profile, int slots) {
    this.runId = runId;
    this.profile = profile;
    this.slots = Math.max(1, slots);
    this.limit = this.slots;
  }

  /**
   * Records that a request was sent to the server.
   *
   * @param promptTokens the prompt tokens that the server processes until the first part of the
   *     response, as far as this gateway knows
   * @param occupied the requests that occupied the server before
   * @param now the current time
   * @return the sample to be passed to the other methods
   */
  public RunSample start(long promptTokens, int occupied, Duration now) {
    RunSample sample = new RunSample(now, promptTokens, load(occupied));
    awaited.add(sample);
    lastOccupied = occupied + 1;
    mostOccupied = Math.max(mostOccupied, lastOccupied);
    return sample;
  }

  /**
   * Records that the first part of a response has arrived.
   *
   * @param sample the sample of the request
   * @param sinceStart the time since the request was sent to the server
   */
  public void recordFirstPart(RunSample sample, Duration sinceStart) {
    awaited.remove(sample);
    sample.recordFirstPart(sinceStart.toNanos() / NANOS_PER_MILLI);
    if (!sample.wasQueued()) {
      countIfLate(sample, sample.firstPartMillis(), sample.startedAt().plus(sinceStart));
    }
  }

  private void countIfLate(RunSample sample, double millis, Duration now) {
    double ratio = ratio(sample, millis);
    if (ratio > 1 && ratio > sample.countedRatio()) {
      evidence.add(ratio, profile.firstPartWeight(), now);
      sample.markCounted(ratio);
    }
  }

  private double ratio(RunSample sample, double millis) {
    return millis / Math.max(1, profile.firstPartMillis(sample.promptTokens(), sample.load()));
  }

  /** Records how fast the server has generated the last few events of a running response. */
  void recordPartialGap(double millis, Duration now) {
    double usual = Math.max(MIN_GAP_MILLIS, profile.gapMillis(Math.min(1, load(lastOccupied))));
    evidence.add(Math.max(MIN_GAP_MILLIS, millis) / usual, PARTIAL_GAP_WEIGHT, now);
  }

  /**
   * Records how fast the server has generated the events of a response. Called before {@link #end}.
   *
   * @param millis the mean time between two events
   */
  public void recordEventGap(double millis) {
    pendingGapMillis = millis;
  }

  /**
   * Records the end of a request.
   *
   * @param sample the sample of the request
   * @param isServed whether the response is complete
   * @param occupied the requests that occupy the server, without this one
   * @param now the current time
   */
  public void end(RunSample sample, boolean isServed, int occupied, Duration now) {
    awaited.remove(sample);
    lastOccupied = occupied;
    double gapMillis = pendingGapMillis;
    pendingGapMillis = 0;
    double load = (sample.load() + load(occupied)) / 2;
    double gapRatio = gapMillis / Math.max(MIN_GAP_MILLIS, profile.gapMillis(load));
    if (gapMillis > 0 && (isServed || gapRatio > 1)) {
      evidence.add(gapRatio, GAP_WEIGHT, now);
    }
    if (!isServed || sample.wasQueued()) {
      return;
    }
    double relative = Math.exp(logRelative);
    if (sample.hasFirstPart()) {
      double ratio = ratio(sample, sample.firstPartMillis());
      if (ratio <= 1) {
        evidence.add(ratio, profile.firstPartWeight(), now);
      }
      profile.recordFirstPart(
          sample.firstPartMillis() / relative, sample.promptTokens(), sample.load());
    }
    if (gapMillis > 0) {
      profile.recordGap(gapMillis / relative, load);
    }
    profile.recordDuration(now.minus(sample.startedAt()).toNanos() / NANOS_PER_MILLI / relative);
  }

  /** Counts the first parts that are clearly late, though their times are not known yet. */
  void checkAwaited(Duration now) {
    for (RunSample sample : awaited) {
      double millis = now.minus(sample.startedAt()).toNanos() / NANOS_PER_MILLI;
      double usual = profile.firstPartMillis(sample.promptTokens(), sample.load());
      double counted = Math.max(1, sample.countedRatio());
      if (!sample.wasQueued()
          && millis > usual * OVERDUE_RATIO * counted
          && millis > usual + MIN_OVERDUE_MILLIS) {
        countIfLate(sample, millis, now);
      }
    }
  }

  void decay(Duration now) {
    evidence.decay(now);
    peers.values().removeIf(peer -> now.minus(peer.receivedAt()).compareTo(PEER_REPORT_EXPIRY) > 0);
  }

  /** Returns the logarithm of the slowness according to own samples alone. */
  double ownLogSlowness() {
    return evidence.mean();
  }

  /** Combines the evidence of this gateway and of its peers, given the median of own evidence. */
  void combine(double newLogMedian) {
    logMedian = newLogMedian;
    double sum = evidence.mean() * (evidence.weight() + SpeedEvidence.PRIOR_WEIGHT);
    sum -= logMedian * evidence.weight();
    double weight = evidence.weight() + SpeedEvidence.PRIOR_WEIGHT;
    for (PeerEvidence peer : peers.values()) {
      sum += peer.weight() * peer.logSlowness();
      weight += peer.weight();
    }
    logRelative = sum / weight;
    slowness = Math.exp(logMedian + logRelative);
  }

  double logRelative() {
    return logRelative;
  }

  /** Returns a change of the limit that operators should know. */
  Optional<LimitChange> updateLimit(double relativeSlowness, Duration now) {
    limiter.update(slots, relativeSlowness, mostOccupied, now);
    mostOccupied = lastOccupied;
    limit = limiter.limit(slots);
    boolean isChange = isReportedLow ? limit == slots : limit <= slots / 2;
    if (!isChange || slots == 1) {
      return Optional.empty();
    }
    isReportedLow = !isReportedLow;
    return Optional.of(new LimitChange(runId, limit, slots, (int) (100 * relativeSlowness)));
  }

  /** Returns the report that peers need now. */
  Optional<SpeedReport> takeReport(Duration now) {
    double weight = evidence.weight();
    double own =
        (ownLogSlowness() * (weight + SpeedEvidence.PRIOR_WEIGHT) - logMedian * weight)
            / (weight + SpeedEvidence.PRIOR_WEIGHT);
    return reporter.isDue(own, weight, evidence.isConfirmed(now), now)
        ? Optional.of(
            new SpeedReport(runId, (int) Math.round(100 * Math.exp(own)), (int) (100 * weight)))
        : Optional.empty();
  }

  void applyReport(String peer, SpeedReport report, Duration now) {
    double reported = Math.min(Math.max(report.slownessPercent() / 100.0, 0.5), MAX_SLOWNESS);
    double weight = Math.min(Math.max(report.weightPercent() / 100.0, 0), MAX_PEER_WEIGHT);
    evidence.compareWith(Math.log(reported) + logMedian);
    peers.put(peer, new PeerEvidence(Math.log(reported), weight, now));
  }

  private double load(int occupied) {
    return (double) Math.max(0, occupied) / slots;
  }

  /**
   * Returns the requests that the server handles well at once.
   *
   * @return the limit, between 1 and the slots of the server
   */
  public int limit() {
    return limit;
  }

  /**
   * Returns the expected time to the first part of a response.
   *
   * @param promptTokens the prompt tokens that the server processes until then
   * @param occupied the requests that occupy the server before
   * @return the time in milliseconds
   */
  public double firstPartMillis(long promptTokens, int occupied) {
    double load = Math.min(1, load(occupied));
    double queueMillis = profile.slotMillis() / slots * Math.max(0, occupied + 1 - slots);
    return slowness * (profile.firstPartMillis((double) promptTokens, load) + queueMillis);
  }

  /**
   * Returns the expected time between two events of a response.
   *
   * @param occupied the requests that occupy the server
   * @return the time in milliseconds
   */
  public double eventGapMillis(int occupied) {
    return slowness * profile.gapMillis(Math.min(1, load(occupied)));
  }

  /**
   * Returns the expected time to process a prompt token.
   *
   * @return the time in milliseconds
   */
  public double prefillMillisPerToken() {
    return slowness * profile.prefillMillisPerToken();
  }
}
