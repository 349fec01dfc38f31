package org.wigeonstage.gateway;

import com.google.common.collect.Comparators;
import java.time.Duration;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.ClockReader;
import org.wigeonstage.common.ClockReading;
import org.wigeonstage.fleet.StoredConfiguration;

/**
 * Holds the last known configuration and its age.
 *
 * <p>The age counts from the call to the store, because the configuration may have changed at any
 * time after that. An older version of the store never replaces a newer one.
 *
 * <p>After a restore, the store may hold an earlier configuration than the one in force. Revisions
 * of the two eras can't be compared, so the versions that operators assigned decide: a lower one is
 * ignored and does not confirm the age, an equal one confirms the one in force, and a higher one
 * replaces it.
 */
final class ConfigurationState {

  /** Share of the maximum age for one call; two calls and the interval between them must fit. */
  private static final double CALL_SHARE = 0.4;

  private final ClockReader clocks;
  private volatile Duration maxAge;
  private volatile @Nullable Confirmation lastConfirmation;

  /** A configuration and the time of the call that read it. */
  private record Confirmation(StoredConfiguration configuration, ClockReading requestedAt) {}

  ConfigurationState(ClockReader clocks, Duration maxAge) {
    this.clocks = clocks;
    this.maxAge = maxAge;
  }

  /** Changes the age up to which the configuration is fresh. */
  void updateMaxAge(Duration limit) {
    maxAge = limit;
  }

  /**
   * Applies a configuration that was read from the store.
   *
   * @param configuration the configuration
   * @param requestedAt the time of the call
   * @return whether the configuration is newer than the last known one
   */
  synchronized boolean confirm(StoredConfiguration configuration, ClockReading requestedAt) {
    Confirmation current = lastConfirmation;
    if (current == null) {
      lastConfirmation = new Confirmation(configuration, requestedAt);
      return true;
    }
    StoredConfiguration inForce = current.configuration();
    boolean isRestored = configuration.version().isOfLaterEraThan(inForce.version());
    int order =
        isRestored
            ? Long.compare(configuration.table().version(), inForce.table().version())
            : configuration.version().compareTo(inForce.version());
    if (order < 0) {
      return false;
    }
    // The table in force stays: an equal version does not show that the content is the same.
    lastConfirmation =
        new Confirmation(
            order > 0
                ? configuration
                : new StoredConfiguration(configuration.version(), inForce.table()),
            requestedAt);
    return order > 0;
  }

  /** Returns whether a configuration is from a restored store and older than the one in force. */
  boolean isOutdated(StoredConfiguration configuration) {
    return current()
        .filter(inForce -> configuration.version().isOfLaterEraThan(inForce.version()))
        .isPresent();
  }

  Optional<StoredConfiguration> current() {
    return Optional.ofNullable(lastConfirmation).map(Confirmation::configuration);
  }

  boolean isFresh() {
    Confirmation current = lastConfirmation;
    return current != null
        && clocks.read().elapsedSince(current.requestedAt()).compareTo(maxAge) < 0;
  }

  /**
   * Returns the maximum time of a call that waits for a change. Until the call returns, the age
   * counts from the call before it, so two calls must fit into the maximum age.
   */
  Duration maxWatchTime(Duration limit) {
    return Comparators.min(limit, Duration.ofNanos((long) (maxAge.toNanos() * CALL_SHARE)));
  }

  /** Returns the age of the configuration, or empty if none is known. */
  Optional<Duration> age() {
    return Optional.ofNullable(lastConfirmation)
        .map(confirmation -> clocks.read().elapsedSince(confirmation.requestedAt()));
  }
}
