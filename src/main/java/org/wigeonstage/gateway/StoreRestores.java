package org.wigeonstage.gateway;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ObjectArrays;
import java.time.Duration;
import java.util.EnumSet;
import java.util.Set;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.fleet.StoreEra;
import org.wigeonstage.telemetry.DecisionLog;

/**
 * Logs each restore of the store from a copy, what was listed and written again, and the time until
 * everything was. Thread-safe.
 */
final class StoreRestores {

  /** What must be read or written again in each era. */
  enum Part {
    CONFIGURATION,
    SERVERS,
    GATEWAYS,
    REGISTRATION
  }

  private final String gateway;
  private final StoreEra storeEra;
  private final MonotonicClock clock;
  private final Counter restores;
  private final Set<Part> pending = EnumSet.noneOf(Part.class);
  private long era;
  private Duration restoredAt = Duration.ZERO;
  private volatile long lastMillisUntilCurrent;

  StoreRestores(String gateway, StoreEra storeEra, MonotonicClock clock, MetricRegistry metrics) {
    this.gateway = gateway;
    this.storeEra = storeEra;
    this.clock = clock;
    this.restores = metrics.counter("store.restores");
    metrics.register("store.millisUntilCurrent", (Gauge<Long>) () -> lastMillisUntilCurrent);
    storeEra.addListener(this::eraRisen);
  }

  private synchronized void eraRisen() {
    long highest = storeEra.highest();
    if (highest <= era) {
      return;
    }
    DecisionLog.write("store-restored", "gateway", gateway, "from", era, "to", highest);
    era = highest;
    restoredAt = clock.elapsed();
    pending.addAll(EnumSet.allOf(Part.class));
    restores.inc();
  }

  /**
   * Records that a part was read or written in an era.
   *
   * @param part the part
   * @param partEra the era
   * @param details alternating names and values for the log
   */
  synchronized void done(Part part, long partEra, Object... details) {
    if (partEra < era) {
      return;
    }
    if (pending.isEmpty()) {
      era = partEra;
      return;
    }
    if (!pending.remove(part)) {
      return;
    }
    long millis = clock.elapsed().minus(restoredAt).toMillis();
    Object[] fields = {
      "gateway", gateway, "part", part.name(), "era", partEra, "sinceRestoreMillis", millis
    };
    DecisionLog.write("store-followed", ObjectArrays.concat(fields, details, Object.class));
    if (pending.isEmpty()) {
      lastMillisUntilCurrent = millis;
      DecisionLog.write("store-current", "gateway", gateway, "era", partEra, "millis", millis);
    }
  }
}
