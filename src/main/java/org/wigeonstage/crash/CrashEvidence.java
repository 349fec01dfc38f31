package org.wigeonstage.crash;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * The crashes that this gateway and its peers have observed, in bounded number. Collects what its
 * own observations changed, to be sent to the peers.
 */
final class CrashEvidence {

  /** Maximum number of crashes; beyond it, those that support no hold are dropped first. */
  static final int MAX_CRASHES = 64;

  /** How long a crash that supports no hold counts. */
  static final Duration LIFETIME = Duration.ofMinutes(10);

  /** How long a crash without suspects is retained, so that late reports on it have no effect. */
  private static final Duration RESOLVED_LIFETIME = Duration.ofMinutes(1);

  /** How long the crashes that support a hold count after the latest of them. */
  private static final Duration HELD_LIFETIME = Duration.ofHours(24);

  /** Losses of connections to one run of a server within this time belong to one crash. */
  private static final Duration SAME_CRASH_TIME = Duration.ofSeconds(2);

  /** A crashed server needs at least this time until it responds again. */
  private static final Duration MIN_RESTART_TIME = Duration.ofSeconds(1);

  /** What was sent before a crash may be read this much later. */
  private static final Duration MAX_READ_DELAY = Duration.ofMillis(300);

  /** Crashes younger than this are reported to gateways that have connected since. */
  private static final Duration REPORTED_AGE = Duration.ofSeconds(30);

  private final Map<String, ServerCrash> crashes = new LinkedHashMap<>();
  private final SuspectCounts suspectCounts = new SuspectCounts();

  /** For each set of crashes that holds rest on, one of these holds. */
  private List<PartHold> explanations = List.of();

  private final Map<String, Change> ownChanges = new LinkedHashMap<>();

  /** What the peers do not know about a crash. */
  private static final class Change {
    private final List<List<String>> victims = new ArrayList<>();
    private final Set<String> cleared = new HashSet<>();
  }

  Collection<ServerCrash> crashes() {
    return crashes.values();
  }

  Set<String> crashIds() {
    return Set.copyOf(crashes.keySet());
  }

  /** Returns the number of crashes in which a part is a suspect. */
  int suspectCount(String part) {
    return suspectCounts.count(part);
  }

  /**
   * Searches for parts that explain the crashes. Until the next search, the crashes that they
   * explain are dropped last.
   */
  HoldSearch findHolds() {
    HoldSearch search = HoldFinder.find(crashes.values(), suspectCounts);
    explanations = search.explanations();
    return search;
  }

  boolean isEmpty() {
    return crashes.isEmpty();
  }

  /**
   * Records that a request at the beginning of its response was interrupted.
   *
   * @return the crash, or empty if nothing has changed
   */
  Optional<ServerCrash> recordLoss(
      String serverRun, String pool, List<String> parts, boolean isTrial, Duration now) {
    ServerCrash crash = crashOf(serverRun, pool, now);
    if (!crash.addVictim(parts, isTrial)) {
      return Optional.empty();
    }
    changeOf(crash).victims.add(parts);
    add(crash);
    return Optional.of(crash);
  }

  /** Adds a crash, and drops another one if there are too many. */
  private void add(ServerCrash crash) {
    crashes.put(crash.id(), crash);
    if (crashes.size() > MAX_CRASHES) {
      remove(leastUseful());
    }
  }

  private void remove(ServerCrash crash) {
    crash.removeSuspects();
    crashes.remove(crash.id());
  }

  /** Returns the crash that a loss belongs to: the run's latest one, or a new one. */
  private ServerCrash crashOf(String serverRun, String pool, Duration now) {
    int number = 0;
    ServerCrash crash = crashes.get(crashId(serverRun, number));
    while (crash != null
        && (crash.isRefuted() || now.minus(crash.at()).compareTo(SAME_CRASH_TIME) > 0)) {
      number++;
      crash = crashes.get(crashId(serverRun, number));
    }
    return crash != null ? crash : newCrash(crashId(serverRun, number), pool, now);
  }

  private ServerCrash newCrash(String id, String pool, Duration at) {
    return new ServerCrash(id, pool, at, suspectCounts);
  }

  private static String crashId(String serverRun, int number) {
    return number == 0 ? serverRun : serverRun + "#" + number;
  }

  private Change changeOf(ServerCrash crash) {
    return ownChanges.computeIfAbsent(crash.id(), key -> new Change());
  }

  /** Clears the parts of a response that its server continued; returns whether any was suspect. */
  boolean clear(List<String> parts, String pool) {
    boolean changed = false;
    for (String part : parts) {
      if (suspectCounts.count(part) > 0) {
        for (ServerCrash crash : crashes.values()) {
          if (crash.pool().equals(pool) && crash.clear(part)) {
            changeOf(crash).cleared.add(part);
            changed = true;
          }
        }
      }
    }
    return changed;
  }

  /**
   * Refutes the crashes of a server from which something was received, unless the server may have
   * started again since.
   *
   * @param sentAt when the request to which the server responds was sent
   * @return the crash that was refuted, or null if there was none
   */
  @Nullable ServerCrash recordSignOfLife(String serverRun, Duration sentAt, Duration now) {
    int number = 0;
    ServerCrash crash = crashes.get(serverRun);
    while (crash != null) {
      if (now.compareTo(crash.at().plus(MAX_READ_DELAY)) > 0
          && sentAt.compareTo(crash.at().plus(MIN_RESTART_TIME)) < 0
          && crash.refute()) {
        changeOf(crash);
        return crash;
      }
      number++;
      crash = crashes.get(crashId(serverRun, number));
    }
    return null;
  }

  /**
   * Merges a report of a peer.
   *
   * @return whether this changed anything
   */
  boolean merge(CrashReport report, Duration now) {
    ServerCrash crash = crashes.get(report.crashId());
    if (crash != null) {
      return crash.merge(report, now);
    }
    ServerCrash added = newCrash(report.crashId(), report.pool(), now.minus(report.age()));
    boolean changed = added.merge(report, now);
    add(added);
    return changed;
  }

  /** Returns the changes by own observations since the last call. */
  List<CrashReport> takeOwnChanges(Duration now) {
    List<CrashReport> reports = new ArrayList<>();
    ownChanges.forEach(
        (id, change) -> {
          ServerCrash crash = crashes.get(id);
          if (crash != null) {
            reports.add(crash.report(change.victims, change.cleared, now));
          }
        });
    ownChanges.clear();
    return reports;
  }

  /** Returns all that a gateway needs that may have missed reports. */
  List<CrashReport> fullReports(Duration now) {
    Set<String> supporting = new HashSet<>();
    explanations.forEach(explanation -> supporting.addAll(explanation.crashIds()));
    return crashes.values().stream()
        .filter(
            crash ->
                supporting.contains(crash.id())
                    || now.minus(crash.at()).compareTo(REPORTED_AGE) < 0)
        .map(crash -> crash.report(now))
        .toList();
  }

  /** Drops crashes that no longer count; returns whether there were any. */
  boolean dropOld(Duration now) {
    Set<String> supporting = new HashSet<>();
    for (PartHold explanation : explanations) {
      if (now.minus(explanation.lastCrashAt()).compareTo(HELD_LIFETIME) < 0) {
        supporting.addAll(explanation.crashIds());
      }
    }
    List<ServerCrash> old =
        crashes.values().stream()
            .filter(crash -> !supporting.contains(crash.id()) && isOld(crash, now))
            .toList();
    old.forEach(this::remove);
    return !old.isEmpty();
  }

  private static boolean isOld(ServerCrash crash, Duration now) {
    Duration lifetime = crash.isResolved() ? RESOLVED_LIFETIME : LIFETIME;
    return now.minus(crash.at()).compareTo(lifetime) > 0;
  }

  /** Returns the crash to drop first: the oldest one that supports no hold, or the largest hold. */
  private ServerCrash leastUseful() {
    Map<String, Integer> explanationSizes = new HashMap<>();
    for (PartHold explanation : explanations) {
      int size = explanation.crashIds().size();
      explanation.crashIds().forEach(id -> explanationSizes.merge(id, size, Math::max));
    }
    return crashes.values().stream()
        .min(
            Comparator.comparing((ServerCrash crash) -> !crash.isResolved())
                .thenComparing(crash -> explanationSizes.containsKey(crash.id()))
                .thenComparing(crash -> -explanationSizes.getOrDefault(crash.id(), 0))
                .thenComparing(ServerCrash::at))
        .orElseThrow();
  }
}
