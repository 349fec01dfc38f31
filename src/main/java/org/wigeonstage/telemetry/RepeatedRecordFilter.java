package org.wigeonstage.telemetry;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.logging.Filter;
import java.util.logging.LogRecord;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.MonotonicClock;

/**
 * Passes one log record for each kind of exception in an interval, with the number of those omitted
 * since the previous one. Peers can provoke such records with each message that they send.
 */
final class RepeatedRecordFilter implements Filter {

  static final Duration INTERVAL = Duration.ofSeconds(10);

  /** Further kinds of exceptions share one allowance. */
  static final int MAX_KINDS = 32;

  private static final String OTHER_KINDS = "other";

  private final MonotonicClock clock;
  private final Map<String, Allowance> allowances = new HashMap<>();

  /** When the latest record of a kind passed, and how many were omitted since. */
  private static final class Allowance {
    private @Nullable Duration passedAt;
    private int omittedCount;
  }

  RepeatedRecordFilter(MonotonicClock clock) {
    this.clock = clock;
  }

  @Override
  public synchronized boolean isLoggable(LogRecord record) {
    Allowance allowance = allowances.computeIfAbsent(kindOf(record), key -> new Allowance());
    Duration now = clock.elapsed();
    Duration passedAt = allowance.passedAt;
    if (passedAt != null && now.minus(passedAt).compareTo(INTERVAL) < 0) {
      allowance.omittedCount++;
      return false;
    }
    if (allowance.omittedCount > 0) {
      record.setMessage(record.getMessage() + " (omitted before: " + allowance.omittedCount + ")");
    }
    allowance.passedAt = now;
    allowance.omittedCount = 0;
    return true;
  }

  private String kindOf(LogRecord record) {
    @Nullable Throwable thrown = record.getThrown();
    String kind = thrown == null ? "" : thrown.getClass().getName();
    boolean isKnown = allowances.containsKey(kind) || allowances.size() < MAX_KINDS;
    return isKnown ? kind : OTHER_KINDS;
  }
}
