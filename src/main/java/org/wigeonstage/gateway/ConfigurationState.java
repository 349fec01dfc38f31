package org.wigeonstage.gateway;

import com.google.common.collect.Comparators;
import java.time.Duration;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.ClockReader;
import org.wigeonstage.common.ClockReading;
import org.wigeonstage.fleet.ConfigurationReport;
import org.wigeonstage.fleet.KnownConfiguration;
import org.wigeonstage.fleet.StoreVersion;
import org.wigeonstage.fleet.StoredConfiguration;
import org.wigeonstage.routes.RoutingTable;

/**
 * Holds the configuration in force and its age.
 *
 * <p>The age counts from the call to the store, because the configuration may have changed at any
 * time after that. An older version of the store never replaces a newer one.
 *
 * <p>A restored store holds an earlier state, so its answers do not show which later configurations
 * it has lost. They confirm the configuration in force only if the era is settled, that is, if this
 * gateway knows the newest configuration that was acknowledged before the era:
 *
 * <ul>
 *   <li>It followed the store until it was restored.
 *   <li>A peer for which the era is settled has no later configuration, or has passed it on.
 *   <li>Operators have written in the era, and not an earlier configuration than is known.
 *   <li>{@link #SETTLING_TIME} has passed, in which operators write again what was lost.
 * </ul>
 *
 * <p>Revisions of two eras can't be compared, so the versions that operators assigned decide. In a
 * settled era, a lower or equal one confirms the configuration in force, and a higher one replaces
 * it. No configuration is confirmed while a peer is known to have a later one of an earlier era.
 *
 * <p>A gateway that starts while others run may know less than they do. It has no configuration
 * until the era is settled, or until {@link #endJoin}.
 */
final class ConfigurationState {

  /**
   * The age of the configuration up to which a gateway has followed the store until a restore. It
   * covers a watch, the moment for which the store is away, and an attempt that fails meanwhile.
   */
  static final Duration FOLLOWED_WITHIN = Duration.ofMillis(4500);

  /**
   * The time from the first answer of an era after which it counts as settled without evidence. A
   * gateway that can reach no peer can't tell whether a configuration was lost.
   */
  static final Duration SETTLING_TIME = Duration.ofSeconds(10);

  /** Share of the maximum age for one call; two calls and the interval between them must fit. */
  private static final double CALL_SHARE = 0.4;

  private static final long NO_VERSION = -1;

  private final ClockReader clocks;
  private volatile Duration maxAge;
  private volatile @Nullable Confirmation lastConfirmation;
  private volatile @Nullable KnownConfiguration newestKnown;
  private @Nullable Confirmation lastAnswer;
  private @Nullable EraStart eraStart;
  private long settledEra = NO_VERSION;
  private boolean isJoining;

  /** A configuration, and the time of the call that confirmed it and the era of its answer. */
  private record Confirmation(
      StoredConfiguration configuration, ClockReading requestedAt, long era) {

    StoreVersion version() {
      return configuration.version();
    }
  }

  /** The first answer of the store in an era. */
  private record EraStart(StoreVersion version, ClockReading readAt) {}

  ConfigurationState(ClockReader clocks, Duration maxAge) {
    this.clocks = clocks;
    this.maxAge = maxAge;
  }

  /** Changes the age up to which the configuration is fresh. */
  void updateMaxAge(Duration limit) {
    maxAge = limit;
  }

  /** Waits for the peers before the first configuration of a restored store is put in force. */
  synchronized void startJoin() {
    isJoining = true;
  }

  /**
   * Ends the wait for peers: the store's last answer is put in force unless a peer is known to have
   * a later configuration.
   *
   * @return whether the configuration in force has changed
   */
  synchronized boolean endJoin() {
    if (!isJoining) {
      return false;
    }
    isJoining = false;
    if (lastConfirmation == null && lastAnswer != null) {
      settledEra = lastAnswer.version().era();
    }
    return applyAnswer();
  }

  synchronized boolean isJoining() {
    return isJoining;
  }

  /**
   * Applies a configuration that was read from the store.
   *
   * @param configuration the configuration
   * @param requestedAt the time of the call
   * @return whether the configuration in force has changed
   */
  synchronized boolean confirm(StoredConfiguration configuration, ClockReading requestedAt) {
    long era = configuration.version().era();
    if (lastAnswer != null && era < lastAnswer.version().era()) {
      return false;
    }
    lastAnswer = new Confirmation(configuration, requestedAt, era);
    if (eraStart == null || era > eraStart.version().era()) {
      startEra(configuration.version());
    } else if (configuration.version().isAfter(eraStart.version())
        && isNewestKnown(configuration)) {
      // Operators write the newest configuration, which therefore contains what was lost.
      settledEra = era;
      isJoining = false;
    }
    return applyAnswer();
  }

  private boolean isNewestKnown(StoredConfiguration configuration) {
    Confirmation current = lastConfirmation;
    return !isSuperseded(configuration, configuration.version().era())
        && (current == null
            || configuration.table().version() >= current.configuration().table().version());
  }

  private void startEra(StoreVersion firstVersion) {
    ClockReading now = clocks.read();
    eraStart = new EraStart(firstVersion, now);
    Confirmation current = lastConfirmation;
    // The store states the era 0 if it can't be restored.
    isJoining &= firstVersion.era() > 0;
    boolean isFollowed = current == null ? !isJoining : isFollowedUntil(now, current.requestedAt());
    if (isFollowed && !isLaterKnown(newestKnown)) {
      settledEra = firstVersion.era();
    }
  }

  private static boolean isFollowedUntil(ClockReading eraReadAt, ClockReading confirmedAt) {
    return eraReadAt.elapsedSince(confirmedAt).compareTo(FOLLOWED_WITHIN) <= 0;
  }

  private boolean isSettled() {
    if (eraStart == null) {
      return false;
    }
    long era = eraStart.version().era();
    if (settledEra < era
        && !isJoining
        && !isLaterKnown(newestKnown)
        && clocks.read().elapsedSince(eraStart.readAt()).compareTo(SETTLING_TIME) >= 0) {
      settledEra = era;
    }
    return settledEra >= era;
  }

  /** Applies the last answer of the store to the configuration in force. */
  private boolean applyAnswer() {
    Confirmation answer = lastAnswer;
    if (answer == null) {
      return false;
    }
    StoredConfiguration stored = answer.configuration();
    Confirmation current = lastConfirmation;
    if (current == null) {
      if (isJoining || isSuperseded(stored, answer.era())) {
        return false;
      }
      lastConfirmation = answer;
      return true;
    }
    if (stored.version().compareTo(current.version()) < 0) {
      return false;
    }
    StoredConfiguration next = next(current.configuration(), stored);
    boolean isChanged = next.table() != current.configuration().table();
    boolean isConfirmed = isSettled() && !isSuperseded(next, answer.era());
    Confirmation unconfirmed = new Confirmation(next, current.requestedAt(), current.era());
    Confirmation confirmed = new Confirmation(next, answer.requestedAt(), answer.era());
    lastConfirmation =
        isConfirmed && (isChanged || isLater(confirmed, current)) ? confirmed : unconfirmed;
    return isChanged;
  }

  private StoredConfiguration next(StoredConfiguration inForce, StoredConfiguration stored) {
    boolean isSameEra = stored.version().era() == inForce.version().era();
    long order =
        isSameEra
            ? stored.version().compareTo(inForce.version())
            : Long.compare(stored.table().version(), inForce.table().version());
    if (order > 0) {
      return isSuperseded(stored, stored.version().era()) ? inForce : stored;
    }
    if (order < 0 || isSameEra) {
      return inForce;
    }
    // Operators may have written the same version again with another content.
    return stored.table().hasSameContent(inForce.table())
        ? new StoredConfiguration(stored.version(), inForce.table())
        : stored;
  }

  private boolean isLater(Confirmation confirmation, Confirmation other) {
    ClockReading now = clocks.read();
    return now.elapsedSince(confirmation.requestedAt())
            .compareTo(now.elapsedSince(other.requestedAt()))
        <= 0;
  }

  /**
   * Returns whether a peer is known to have a later configuration than one that was confirmed by an
   * answer of a later era. Within an era, the store itself shows later ones.
   */
  private boolean isSuperseded(StoredConfiguration configuration, long answerEra) {
    KnownConfiguration known = newestKnown;
    return known != null && known.version().era() < answerEra && known.isNewerThan(configuration);
  }

  /** Returns whether a configuration is from a restored store and older than the one in force. */
  boolean isOutdated(StoredConfiguration configuration) {
    return current()
        .filter(inForce -> configuration.version().isOfLaterEraThan(inForce.version()))
        .isPresent();
  }

  /**
   * Records which configuration a peer has in force.
   *
   * @param known the configuration of the peer
   * @return whether the configuration in force here has changed
   */
  synchronized boolean recordKnown(KnownConfiguration known) {
    KnownConfiguration before = newestKnown;
    if (before == null
        || (known.version().era() == before.version().era()
            ? known.version().isAfter(before.version())
            : known.tableVersion() > before.tableVersion())) {
      newestKnown = known;
    }
    if (isLaterKnown(known)) {
      settledEra = NO_VERSION;
    }
    Confirmation answer = lastAnswer;
    if (answer == null
        || isSettled()
        || known.settledEra() < answer.version().era()
        || isNewerThanHeld(known)) {
      return false;
    }
    settledEra = answer.version().era();
    isJoining = false;
    return applyAnswer();
  }

  /** Returns whether a configuration was in force before the last restore and is not held here. */
  private boolean isLaterKnown(@Nullable KnownConfiguration known) {
    return known != null
        && lastAnswer != null
        && known.version().era() < lastAnswer.era()
        && isNewerThanHeld(known);
  }

  /**
   * Returns whether a configuration is newer than the one in force and the store's last answer.
   * That answer may be from a time at which the era was not settled yet.
   */
  private boolean isNewerThanHeld(KnownConfiguration known) {
    return isNewerThan(known, lastConfirmation) && isNewerThan(known, lastAnswer);
  }

  private static boolean isNewerThan(
      KnownConfiguration known, @Nullable Confirmation confirmation) {
    return confirmation == null || known.isNewerThan(confirmation.configuration());
  }

  /** Returns whether the words of peers may still settle the era of the store. */
  synchronized boolean awaitsPeers() {
    return isJoining || (lastAnswer != null && !isSettled());
  }

  /**
   * Returns whether the store's answers don't suffice, so that peers must be asked for the
   * configuration that they have in force.
   */
  synchronized boolean needsReport() {
    Confirmation answer = lastAnswer;
    if (answer == null) {
      return false;
    }
    Confirmation current = lastConfirmation;
    return isJoining
        || !isSettled()
        || isSuperseded((current == null ? answer : current).configuration(), answer.era());
  }

  /** Returns the version of the configuration that a report need not contain. */
  synchronized long heldVersion() {
    Confirmation current = lastConfirmation;
    return current == null ? NO_VERSION : current.configuration().table().version();
  }

  /**
   * Applies the configuration that a peer has in force. It is as good as an answer of the store at
   * the time of that peer's call.
   *
   * @param report the report of the peer
   * @param requestedAt when the peer was asked, before which its age counts
   * @return whether the configuration in force has changed
   */
  synchronized boolean adopt(ConfigurationReport report, ClockReading requestedAt) {
    ClockReading confirmedAt = requestedAt.minus(report.age());
    KnownConfiguration known = report.known();
    Confirmation current = lastConfirmation;
    RoutingTable table = report.table();
    long era = Math.max(known.version().era(), known.settledEra());
    boolean isChanged = false;
    if (table != null && (current == null || known.isNewerThan(current.configuration()))) {
      lastConfirmation =
          new Confirmation(new StoredConfiguration(known.version(), table), confirmedAt, era);
      isChanged = true;
    } else if (current != null && known.version().equals(current.version())) {
      Confirmation same = new Confirmation(current.configuration(), confirmedAt, era);
      lastConfirmation = isLater(same, current) ? same : current;
    }
    if (eraStart != null
        && lastConfirmation != null
        && known.version().equals(lastConfirmation.version())
        && isFresh()
        && isFollowedUntil(eraStart.readAt(), confirmedAt)) {
      settledEra = Math.max(settledEra, eraStart.version().era());
      isJoining = false;
    }
    return recordKnown(known) | applyAnswer() | isChanged;
  }

  /**
   * Reports the configuration in force to a peer.
   *
   * @param heldVersion the version that the peer holds, or -1 if it has none
   * @return the report, or empty if there is no configuration yet
   */
  synchronized Optional<ConfigurationReport> report(long heldVersion) {
    Confirmation current = lastConfirmation;
    if (current == null) {
      return Optional.empty();
    }
    RoutingTable table = current.configuration().table();
    return Optional.of(
        new ConfigurationReport(
            knownOf(current),
            clocks.read().elapsedSince(current.requestedAt()),
            table.version() > heldVersion ? table : null));
  }

  /** Returns which configuration is in force, or empty if there is none yet. */
  synchronized Optional<KnownConfiguration> known() {
    return Optional.ofNullable(lastConfirmation).map(this::knownOf);
  }

  private KnownConfiguration knownOf(Confirmation current) {
    return new KnownConfiguration(
        current.version(), current.configuration().table().version(), settledEra);
  }

  Optional<StoredConfiguration> current() {
    return Optional.ofNullable(lastConfirmation).map(Confirmation::configuration);
  }

  boolean isFresh() {
    Confirmation current = lastConfirmation;
    return current != null
        && !isSuperseded(current.configuration(), current.era())
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
