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
 * What another gateway has taken from the quotas, as far as it is known.
 *
 * <p>While the peer is silent and may be running, it may use its equal share of each limit at any
 * moment. What it is not known to have used of that counts as used; the true use replaces it once
 * the peer is heard again. Not safe for use by several threads.
 */
public final class PeerUsage {

  /** What a peer runs is no longer known after so long; it sends every 50 ms. */
  private static final Duration SILENCE = Duration.ofMillis(400);

  /** Use is assumed after so long; a peer that has just started may miss a few messages. */
  private static final Duration ASSUMED_AFTER = Duration.ofMillis(250);

  /** What may be used at once is shared when a message is late; the peer sends every 50 ms. */
  private static final Duration SHARED_AFTER = Duration.ofMillis(75);

  /** A peer that does not run needs longer than this to start; it is called every 500 ms. */
  private static final Duration NOT_RUNNING_FOR = Duration.ofMillis(1200);

  /** How often the use that is known is noted; a sixteenth of the usual window. */
  private static final Duration NOTE_INTERVAL = Duration.ofMillis(500);

  private final AccountQuotas quotas;
  private final long ownIncarnation;
  private final Map<String, Long> known = new HashMap<>();
  private final Deque<Note> notes = new ArrayDeque<>();
  private final List<Assumption> assumed = new ArrayList<>();
  private long incarnation;
  private Duration heardAt;
  private Duration assumeFrom;
  private Duration shareFrom;
  private @Nullable Map<String, Double> assumedBeforeSilence;

  /** Use since the peer's start that was known at a time. */
  private record Note(Duration at, Map<String, Long> used) {}

  /** Use that was counted for a silent peer. */
  private record Assumption(String account, double units, Duration chargedAt) {}

  /**
   * Creates the record of a peer that was not heard yet.
   *
   * @param quotas what its use is taken from
   * @param ownIncarnation names this gateway's start; lower ones are earlier
   * @param now the time
   */
  public PeerUsage(AccountQuotas quotas, long ownIncarnation, Duration now) {
    this.quotas = quotas;
    this.ownIncarnation = ownIncarnation;
    this.heardAt = now;
    this.assumeFrom = now;
    this.shareFrom = now;
    if (quotas.followsOthers()) {
      assumedBeforeSilence = quotas.peerFellSilent();
    }
  }

  /**
   * Takes a report of the peer, and learns from the first one, if it started earlier, what was used
   * before this gateway's start, and since then before the peer was heard.
   *
   * @param newIncarnation names the peer's start
   * @param used its use since its start, by account
   * @param recentUsage what all gateways used in the last window; empty where the peer can't tell
   * @param burstUsed what is spent of each account's burst; empty where the peer can't tell
   * @param now the time
   */
  public void applyReport(
      long newIncarnation,
      Map<String, Long> used,
      Map<String, Long> recentUsage,
      Map<String, Long> burstUsed,
      Duration now) {
    boolean canTeach = newIncarnation < ownIncarnation && !burstUsed.isEmpty();
    if (incarnation == 0 && canTeach) {
      endSilence(now);
      quotas.learnEarlierUse(recentUsage, burstUsed, now);
    }
    applyReport(newIncarnation, used, now);
  }

  /**
   * Takes a report of the peer. What it had used before this gateway started is not counted again.
   *
   * @param newIncarnation names the peer's start; its counts begin anew with each
   * @param used its use since its start, by account
   * @param now the time
   */
  public void applyReport(long newIncarnation, Map<String, Long> used, Duration now) {
    if (newIncarnation != incarnation) {
      boolean ranBefore =
          incarnation == 0 && newIncarnation < ownIncarnation && quotas.hasLearned();
      incarnation = newIncarnation;
      known.clear();
      notes.clear();
      if (ranBefore) {
        known.putAll(used);
      }
      notes.addLast(new Note(now, Map.copyOf(known)));
    }
    endSilence(now);
    used.forEach(
        (account, units) -> {
          long before = known.getOrDefault(account, 0L);
          quotas.chargePeer(account, units - before, now);
          known.put(account, units);
        });
    note(now);
    refundAll(now);
    heardAt = now;
    assumeFrom = now.plus(ASSUMED_AFTER);
    shareFrom = now.plus(SHARED_AFTER);
  }

  private void note(Duration now) {
    if (notes.isEmpty() || now.minus(notes.getLast().at()).compareTo(NOTE_INTERVAL) >= 0) {
      notes.addLast(new Note(now, Map.copyOf(known)));
    }
  }

  private void endSilence(Duration now) {
    if (assumedBeforeSilence != null) {
      quotas.peerIsKnown(assumedBeforeSilence, now);
      assumedBeforeSilence = null;
    }
  }

  private void refundAll(Duration now) {
    assumed.forEach(part -> quotas.refundPeer(part.account(), part.units(), part.chargedAt(), now));
    assumed.clear();
  }

  /**
   * Notes that the peer does not run.
   *
   * @param now the time
   */
  public void markStopped(Duration now) {
    endSilence(now);
    refundAll(now);
    heardAt = now;
    assumeFrom = now.plus(NOT_RUNNING_FOR);
    shareFrom = assumeFrom;
  }

  /**
   * Notes that the peer is gone for good.
   *
   * @param now the time
   */
  public void forget(Duration now) {
    endSilence(now);
  }

  /**
   * Counts what a silent peer may have used. Nothing is assumed in the window of one that was never
   * heard: what all gateways may use after this one's start is limited as a whole.
   *
   * @param gateways the number of gateways that share the limits
   * @param now the time
   */
  public void tick(int gateways, Duration now) {
    quotas.gateways(gateways);
    boolean mayRun = incarnation != 0 || quotas.followsOthers();
    if (mayRun && assumedBeforeSilence == null && now.compareTo(shareFrom) >= 0) {
      assumedBeforeSilence = quotas.peerFellSilent();
    }
    if (incarnation == 0 || now.compareTo(assumeFrom) < 0) {
      return;
    }
    Duration oldest = now.minus(quotas.window());
    assumed.removeIf(part -> part.chargedAt().compareTo(oldest) <= 0);
    quotas
        .usable()
        .forEach(
            (account, limit) -> {
              double units = limit / gateways - countedLately(account, oldest);
              if (units > 0) {
                quotas.assumeOfPeer(account, units, now);
                assumed.add(new Assumption(account, units, now));
              }
            });
  }

  /**
   * Returns what counts as the peer's use in the window, known and assumed. Of what is known, use
   * before the first note in the window is left out, so that too much is assumed and not too
   * little.
   */
  private double countedLately(String account, Duration oldest) {
    while (!notes.isEmpty() && notes.getFirst().at().compareTo(oldest) < 0) {
      notes.removeFirst();
    }
    long used = known.getOrDefault(account, 0L);
    double counted = notes.isEmpty() ? 0 : used - notes.getFirst().used().getOrDefault(account, 0L);
    for (Assumption part : assumed) {
      counted += part.account().equals(account) ? part.units() : 0;
    }
    return counted;
  }

  /**
   * Returns whether the peer was heard lately.
   *
   * @param now the time
   * @return whether its reports can be used
   */
  public boolean isResponsive(Duration now) {
    return now.minus(heardAt).compareTo(SILENCE) < 0;
  }
}
