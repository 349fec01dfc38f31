package org.wigeonstage.placement;

import java.time.Duration;

/** The speed of a server under the assumption that it is a model engine of a known kind. */
final class AssumedServerSpeed implements ServerSpeed {

  /** The weight of the newest value in exponential moving averages. */
  private static final double SMOOTHING_FACTOR = 0.1;

  /** The time to process (prefill) a prompt token: model engines process about 100 per ms. */
  static final double PREFILL_MILLIS_PER_TOKEN = 0.01;

  /** The time per event of a stream at normal speed, assumed until it has been measured. */
  private static final double INITIAL_EVENT_GAP_MILLIS = 25;

  /**
   * How much later the first part of a response arrives from a full server than from an idle one.
   */
  private static final double FULL_LOAD_DELAY_MILLIS = 20;

  /** How long a request waits at a full server for each request ahead of it. */
  private static final double QUEUE_DELAY_MILLIS = 60;

  /**
   * The time to the first part for a short prompt, assumed until it has been measured. It is low so
   * that new servers receive requests.
   */
  private static final double INITIAL_FIRST_PART_MILLIS = 2;

  private double measuredEventGapMillis;
  private double firstPartMillis = INITIAL_FIRST_PART_MILLIS;

  @Override
  public void recordStart(
      PlacementRequest request, long pendingPromptTokens, int occupied, Duration now) {}

  @Override
  public void recordFirstPart(PlacementRequest request, Duration sinceStart) {
    double withoutPrefillMillis =
        sinceStart.toMillis() - request.promptTokens() * PREFILL_MILLIS_PER_TOKEN;
    firstPartMillis += SMOOTHING_FACTOR * (Math.max(withoutPrefillMillis, 0) - firstPartMillis);
  }

  @Override
  public void recordEventGap(double millis) {
    measuredEventGapMillis =
        measuredEventGapMillis == 0
            ? millis
            : measuredEventGapMillis + SMOOTHING_FACTOR * (millis - measuredEventGapMillis);
  }

  @Override
  public void recordEnd(PlacementRequest request, boolean isServed, int occupied, Duration now) {}

  /** Decays the measured delay, so that a server that was slow receives requests again. */
  @Override
  public void decay(Duration elapsed) {
    double retained = ServerState.retainedAfter(elapsed);
    firstPartMillis =
        INITIAL_FIRST_PART_MILLIS + retained * (firstPartMillis - INITIAL_FIRST_PART_MILLIS);
  }

  @Override
  public int limit(int slots) {
    return slots;
  }

  @Override
  public double firstPartMillis(long pendingPromptTokens, int occupied, int slots) {
    double slowdown = eventGapMillis(occupied) / INITIAL_EVENT_GAP_MILLIS;
    double utilization = (double) occupied / Math.max(slots, 1);
    return firstPartMillis
        + pendingPromptTokens * PREFILL_MILLIS_PER_TOKEN * slowdown
        + FULL_LOAD_DELAY_MILLIS * utilization
        + QUEUE_DELAY_MILLIS * slowdown * Math.max(0, occupied + 1 - slots);
  }

  @Override
  public double eventGapMillis(int occupied) {
    return measuredEventGapMillis == 0 ? INITIAL_EVENT_GAP_MILLIS : measuredEventGapMillis;
  }

  @Override
  public double slotMillis(
      PlacementRequest request, long pendingPromptTokens, int occupied, int slots) {
    return firstPartMillis(pendingPromptTokens, occupied, slots)
        + request.expectedEvents() * eventGapMillis(occupied);
  }

  @Override
  public double prefillMillisPerToken() {
    return PREFILL_MILLIS_PER_TOKEN;
  }
}
