package org.wigeonstage.crash;

import com.google.common.collect.Comparators;
import com.google.common.collect.Sets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether a request may be sent to a server, by the parts of its prompt that it shares with
 * other requests. Designed for requests that come at all gateways, crash each server that begins to
 * respond to them, and share their other parts with sound requests.
 *
 * <p>Some time after the latest crash, a request with the held parts is sent as a trial. If its
 * server continues the response, the parts are released. If it crashes, the next trial follows much
 * later, so that over all gateways only a few more servers crash. The gateways take turns, so that
 * there is one trial at a time, and each gateway's callers can release a part that is sound.
 *
 * <p>All times are readings of the monotonic clock. Not thread-safe.
 */
public final class PromptGuard {

  /** The times from the latest crash to the next trial, by the number of failed trials. */
  private static final List<Duration> TRIAL_DELAYS =
      List.of(
          Duration.ofSeconds(2), Duration.ofSeconds(30), Duration.ofHours(1), Duration.ofHours(24));

  /**
   * How long requests are deferred when a hold begins. Within this time, sound requests that share
   * a part with many others clear it, after a failure of several servers at once.
   */
  private static final Duration DEFERRAL_TIME = Duration.ofMillis(400);

  /** The turn of a gateway, in which the result of a trial becomes known to all gateways. */
  private static final Duration TRIAL_TURN = Duration.ofSeconds(3);

  /** A request that is held for long is not worth another try by its caller before this time. */
  private static final Duration LONG_RETRY_AFTER = Duration.ofSeconds(60);

  /** The interval at which evidence that no longer counts is dropped. */
  private static final Duration DROP_INTERVAL = Duration.ofSeconds(1);

  /**
   * The next search for parts follows no sooner than the last one's steps take at this rate, so
   * that searches leave most of the processor time to requests, however many parts the evidence
   * has.
   */
  static final long STEPS_PER_MILLI = 1000;

  private final HoldListener listener;
  private final CrashEvidence evidence = new CrashEvidence();

  /** Returns whether it is this gateway's turn, by a text that identifies the turn. */
  private Predicate<String> ownTurn = turn -> true;

  private HoldIndex holds = HoldIndex.EMPTY;
  private final Map<Set<String>, Duration> heldSince = new HashMap<>();
  private @Nullable Duration lastTrialAt;

  /** When the evidence changed for the first time since the last search, or null. */
  private @Nullable Duration changedAt;

  private Duration nextSearchAt = Duration.ZERO;
  private Duration nextDropAt = Duration.ZERO;
  private Set<String> heldByOperator = Set.of();
  private Set<String> releasedByOperator = Set.of();

  /**
   * Creates a guard without evidence.
   *
   * @param listener is told about holds
   */
  public PromptGuard(HoldListener listener) {
    this.listener = listener;
  }

  /**
   * Sets which gateway may make a trial.
   *
   * @param isOwnTurn returns whether it is this gateway's turn, by a text that identifies the turn;
   *     of all gateways, it should be the turn of one
   */
  public void setOwnTurn(Predicate<String> isOwnTurn) {
    ownTurn = isOwnTurn;
  }

  /**
   * Applies the decisions of operators, which precede the evidence.
   *
   * @param held parts to hold
   * @param released parts not to hold
   * @param now the current time
   */
  public void applyOverrides(Set<String> held, Set<String> released, Duration now) {
    heldByOperator = Set.copyOf(held);
    releasedByOperator = Set.copyOf(released);
    search(now, now);
  }

  /**
   * Decides about a request.
   *
   * @param parts the shared parts of its prompt
   * @param pool the pool that it is sent to
   * @param now the current time
   * @return the decision
   */
  public PromptAdmission decide(List<String> parts, String pool, Duration now) {
    searchIfChanged(now);
    if (parts.isEmpty() || (holds.isEmpty() && heldByOperator.isEmpty())) {
      return PromptAdmission.ADMITTED;
    }
    Set<String> promptParts = Set.copyOf(parts);
    Optional<String> byOperator = parts.stream().filter(heldByOperator::contains).findFirst();
    if (byOperator.isPresent()) {
      return new PromptAdmission(
          PromptAdmission.Kind.HELD, Set.of(byOperator.get()), Set.of(), LONG_RETRY_AFTER);
    }
    return holds
        .find(promptParts, pool)
        .map(hold -> decide(hold, promptParts, now))
        .orElse(PromptAdmission.ADMITTED);
  }

  private PromptAdmission decide(PartHold hold, Set<String> promptParts, Duration now) {
    Duration trialsFrom = trialsFrom(hold);
    if (now.compareTo(trialsFrom) < 0) {
      boolean isYoung = now.minus(heldSince(hold)).compareTo(DEFERRAL_TIME) < 0;
      return admission(
          isYoung ? PromptAdmission.Kind.DEFERRED : PromptAdmission.Kind.HELD,
          hold,
          Comparators.min(trialsFrom.minus(now).plus(TRIAL_TURN), LONG_RETRY_AFTER));
    }
    long turn = now.minus(trialsFrom).toMillis() / TRIAL_TURN.toMillis();
    if (!hasTrialInProgress(now)
        && ownTurn.test(hold.parts().stream().sorted().toList() + "/" + turn)
        && !hasOtherSuspect(hold, promptParts)) {
      lastTrialAt = now;
      return admission(PromptAdmission.Kind.TRIAL, hold, Duration.ZERO);
    }
    return admission(PromptAdmission.Kind.HELD, hold, TRIAL_TURN);
  }

  private static PromptAdmission admission(
      PromptAdmission.Kind kind, PartHold hold, Duration retryAfter) {
    return new PromptAdmission(kind, hold.parts(), hold.crashIds(), retryAfter);
  }

  private Duration heldSince(PartHold hold) {
    return heldSince.getOrDefault(hold.parts(), Duration.ZERO);
  }

  private static Duration trialsFrom(PartHold hold) {
    int index = Math.min(hold.failedTrials(), TRIAL_DELAYS.size() - 1);
    return hold.lastCrashAt().plus(TRIAL_DELAYS.get(index));
  }

  private boolean hasTrialInProgress(Duration now) {
    return lastTrialAt != null && now.compareTo(lastTrialAt.plus(TRIAL_TURN)) < 0;
  }

  /** Returns whether another part would leave it unclear what a trial has shown. */
  private boolean hasOtherSuspect(PartHold hold, Set<String> promptParts) {
    return promptParts.stream()
        .anyMatch(part -> !hold.parts().contains(part) && evidence.suspectCount(part) > 1);
  }

  /**
   * Records that the connection of a request was lost at the beginning of its response.
   *
   * @param serverRun identifies the run of the server
   * @param pool the pool of the server
   * @param parts the shared parts of the request's prompt
   * @param isTrial whether the request was sent as a trial
   * @param now the current time
   * @return whether this is a crash that was not known before
   */
  public boolean recordLoss(
      String serverRun, String pool, List<String> parts, boolean isTrial, Duration now) {
    if (parts.isEmpty()) {
      return false;
    }
    Set<String> known = evidence.crashIds();
    Optional<ServerCrash> crash = evidence.recordLoss(serverRun, pool, parts, isTrial, now);
    if (crash.isPresent()) {
      evidenceChanged(now);
    }
    return crash.filter(changed -> !known.contains(changed.id())).isPresent();
  }

  /**
   * Records that a server has continued a response past its beginning, or has completed it.
   *
   * @param parts the shared parts of the request's prompt
   * @param pool the pool of the server
   * @param now the current time
   */
  public void recordResponse(List<String> parts, String pool, Duration now) {
    // Without holds, no part occurs often enough, and fewer suspects don't change that.
    if (!evidence.isEmpty() && evidence.clear(parts, pool) && !holds.isEmpty()) {
      evidenceChanged(now);
    }
  }

  /**
   * Returns whether any crash is known, which a sign of life could refute.
   *
   * @return whether there is one
   */
  public boolean hasCrashes() {
    return !evidence.isEmpty();
  }

  /**
   * Records that something was received from a server.
   *
   * @param serverRun identifies the run of the server
   * @param sentAt when the request to which the server responds was sent
   * @param now the current time
   * @return whether this refuted a crash
   */
  public boolean recordSignOfLife(String serverRun, Duration sentAt, Duration now) {
    if (evidence.isEmpty() || evidence.recordSignOfLife(serverRun, sentAt, now) == null) {
      return false;
    }
    evidenceChanged(now);
    return true;
  }

  /**
   * Merges reports of a peer.
   *
   * @param reports the reports
   * @param now the current time
   * @return the IDs of crashes that were not known before
   */
  public Set<String> applyReports(List<CrashReport> reports, Duration now) {
    Set<String> known = evidence.crashIds();
    boolean changed = false;
    for (CrashReport report : reports) {
      changed |= evidence.merge(report, now);
    }
    if (changed) {
      evidenceChanged(now);
    }
    return Set.copyOf(Sets.difference(evidence.crashIds(), known));
  }

  /**
   * Returns what this gateway has observed since the last call, to be sent to all peers.
   *
   * @param now the current time
   * @return the reports
   */
  public List<CrashReport> takeOwnChanges(Duration now) {
    return evidence.takeOwnChanges(now);
  }

  /**
   * Returns all that a peer needs that may have missed reports.
   *
   * @param now the current time
   * @return the reports
   */
  public List<CrashReport> fullReports(Duration now) {
    return evidence.fullReports(now);
  }

  /**
   * Returns the number of holds, by evidence or by operators.
   *
   * @return the number of holds
   */
  public int holdCount() {
    return holds.size() + heldByOperator.size();
  }

  /**
   * Drops evidence that no longer counts, and updates the holds. To be called periodically.
   *
   * @param now the current time
   */
  public void tick(Duration now) {
    if (!evidence.isEmpty() && now.compareTo(nextDropAt) >= 0) {
      nextDropAt = now.plus(DROP_INTERVAL);
      if (evidence.dropOld(now)) {
        evidenceChanged(now);
      }
    }
    searchIfChanged(now);
  }

  private void evidenceChanged(Duration now) {
    changedAt = changedAt == null ? now : changedAt;
    searchIfChanged(now);
  }

  private void searchIfChanged(Duration now) {
    Duration since = changedAt;
    if (since != null && now.compareTo(nextSearchAt) >= 0) {
      search(since, now);
    }
  }

  /**
   * Updates the holds.
   *
   * @param since when the evidence changed, which is when new holds begin
   */
  private void search(Duration since, Duration now) {
    changedAt = null;
    HoldSearch search = evidence.findHolds();
    nextSearchAt = now.plusMillis(search.steps() / STEPS_PER_MILLI);
    Map<Set<String>, PartHold> before = holds.byParts();
    holds =
        new HoldIndex(
            search.holds().stream()
                .filter(hold -> hold.parts().stream().noneMatch(releasedByOperator::contains))
                .toList());
    Map<Set<String>, PartHold> after = holds.byParts();
    heldSince.keySet().retainAll(after.keySet());
    after.keySet().forEach(parts -> heldSince.putIfAbsent(parts, since));
    before.keySet().stream().filter(key -> !after.containsKey(key)).forEach(listener::released);
    after.forEach(
        (parts, hold) -> {
          PartHold previous = before.get(parts);
          if (previous == null || !hold.hasSameEvidence(previous)) {
            listener.held(hold);
          }
        });
    listener.updated();
  }
}
