package org.wigeonstage.gateway;

import com.google.common.collect.Comparators;
import java.time.Duration;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.ClockReader;
import org.wigeonstage.common.ClockReading;
import org.wigeonstage.fleet.RoutingRevision;

/**
 * What the gateway believes of its configuration, and how old that is.
 *
 * <p>The age counts from when the store was asked, because anything may have changed since. A
 * configuration never gives way to an older one.
 */
final class ConfigurationState {

  /** The part of the allowed age that one call may take; the pause between two takes some, too. */
  private static final double PATIENCE_SHARE = 0.4;

  private final ClockReader clocks;
  private volatile Duration maxAge;
  private volatile @Nullable Confirmed confirmed;

  /** A configuration and when it was asked for. */
  private record Confirmed(RoutingRevision routing, ClockReading askedAt) {}

  ConfigurationState(ClockReader clocks, Duration maxAge) {
    this.clocks = clocks;
    this.maxAge = maxAge;
  }

  /** Sets how old the configuration may be. */
  void maxAge(Duration limit) {
    maxAge = limit;
  }

  /** Takes an answer of the store; returns whether it brought a newer configuration. */
  synchronized boolean confirm(RoutingRevision routing, ClockReading askedAt) {
    Confirmed current = confirmed;
    if (current != null && routing.revision() < current.routing().revision()) {
      return false;
    }
    confirmed = new Confirmed(routing, askedAt);
    return current == null || routing.revision() > current.routing().revision();
  }

  Optional<RoutingRevision> routing() {
    return Optional.ofNullable(confirmed).map(Confirmed::routing);
  }

  boolean isRoutingFresh() {
    Confirmed current = confirmed;
    return current != null && clocks.read().elapsedSince(current.askedAt()).compareTo(maxAge) < 0;
  }

  /**
   * Returns how long the store may hold a call for news. Until the answer to a call, the age counts
   * from when the call before it was made, so two calls must fit into the age that is allowed.
   */
  Duration patience(Duration longest) {
    return Comparators.min(longest, Duration.ofNanos((long) (maxAge.toNanos() * PATIENCE_SHARE)));
  }

  /** Returns the age of the configuration, or empty where none is known. */
  Optional<Duration> routingAge() {
    return Optional.ofNullable(confirmed).map(held -> clocks.read().elapsedSince(held.askedAt()));
  }
}
