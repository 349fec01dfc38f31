package org.wigeonstage.crash;

import java.time.Duration;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** A crash of a server, merged from the observations of all gateways. */
final class ServerCrash {

  /**
   * Maximum number of parts of all victims together. Beyond it, the victims with the most parts are
   * dropped, so that a request with many parts cannot displace others.
   */
  static final int MAX_PARTS = 2048;

  private final String id;
  private final String pool;
  private Duration at;
  private boolean refuted;
  private boolean trial;

  private final Set<List<String>> victims = new LinkedHashSet<>();
  private final Set<String> cleared = new HashSet<>();

  /** The parts of the victims that are not cleared; empty once the crash is refuted. */
  private final Set<String> suspects = new HashSet<>();

  private final SuspectCounts suspectCounts;
  private int partCount;

  /**
   * Creates a crash without victims.
   *
   * @param suspectCounts counts the suspects of this crash until {@link #removeSuspects}
   */
  ServerCrash(String id, String pool, Duration at, SuspectCounts suspectCounts) {
    this.id = id;
    this.pool = pool;
    this.at = at;
    this.suspectCounts = suspectCounts;
  }

  String id() {
    return id;
  }

  String pool() {
    return pool;
  }

  Duration at() {
    return at;
  }

  boolean isRefuted() {
    return refuted;
  }

  boolean isTrial() {
    return trial;
  }

  /** Adds an interrupted request; returns whether this changed anything. */
  boolean addVictim(List<String> parts, boolean isTrial) {
    boolean changed = isTrial && !trial;
    trial |= isTrial;
    List<String> bounded = List.copyOf(parts.subList(0, Math.min(parts.size(), MAX_PARTS)));
    if (bounded.isEmpty() || !victims.add(bounded)) {
      return changed;
    }
    partCount += bounded.size();
    bounded.forEach(this::addSuspect);
    if (partCount > MAX_PARTS) {
      dropLargestVictim();
    }
    return changed || victims.contains(bounded);
  }

  private void addSuspect(String part) {
    if (!refuted && !cleared.contains(part) && suspects.add(part)) {
      suspectCounts.increment(part);
    }
  }

  private boolean removeSuspect(String part) {
    boolean wasSuspect = suspects.remove(part);
    if (wasSuspect) {
      suspectCounts.decrement(part);
    }
    return wasSuspect;
  }

  /** Drops all suspects, also before the crash is forgotten. */
  void removeSuspects() {
    suspects.forEach(suspectCounts::decrement);
    suspects.clear();
  }

  private void dropLargestVictim() {
    List<String> largest = Collections.max(victims, Comparator.comparingInt(List::size));
    victims.remove(largest);
    partCount -= largest.size();
    Set<String> remaining = new HashSet<>();
    victims.forEach(remaining::addAll);
    largest.stream().filter(part -> !remaining.contains(part)).forEach(this::removeSuspect);
  }

  /** Clears a part; returns whether it was a suspect. */
  boolean clear(String part) {
    boolean wasSuspect = removeSuspect(part);
    if (wasSuspect) {
      cleared.add(part);
    }
    return wasSuspect;
  }

  /** Records that the server has not ended; returns whether this was unknown. */
  boolean refute() {
    boolean changed = !refuted;
    refuted = true;
    removeSuspects();
    return changed;
  }

  Set<List<String>> victims() {
    return victims;
  }

  /** Returns the parts that may have caused the crash. */
  Set<String> suspects() {
    return suspects;
  }

  /** Returns whether no part can have caused the crash. */
  boolean isResolved() {
    return suspects.isEmpty();
  }

  /** Merges the observations of another gateway; returns whether this changed anything. */
  boolean merge(CrashReport report, Duration now) {
    boolean changed = report.isRefuted() && refute();
    Duration reportedAt = now.minus(report.age());
    at = reportedAt.compareTo(at) < 0 ? reportedAt : at;
    for (List<String> victim : report.victims()) {
      changed |= addVictim(victim, report.isTrial());
    }
    for (String part : report.cleared()) {
      // The victims with this part may be reported later, by another gateway.
      if (cleared.size() < MAX_PARTS) {
        changed |= cleared.add(part) & removeSuspect(part);
      }
    }
    return changed;
  }

  /** Returns a report of everything that is known. */
  CrashReport report(Duration now) {
    return report(victims, cleared, now);
  }

  /** Returns a report with only some of the victims, if they still count, and cleared parts. */
  CrashReport report(Collection<List<String>> someVictims, Set<String> someCleared, Duration now) {
    List<List<String>> reported = someVictims.stream().filter(victims::contains).toList();
    return new CrashReport(id, pool, now.minus(at), refuted, trial, reported, someCleared);
  }
}
