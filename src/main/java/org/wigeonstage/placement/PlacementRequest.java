package org.wigeonstage.placement;

import com.google.common.collect.Comparators;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * A request for placement on a backend server. All times are readings of the monotonic clock.
 *
 * <p>Not thread-safe.
 */
public final class PlacementRequest {

  private final String id;
  private final Urgency urgency;
  private final Duration arrivedAt;
  private final Duration firstPartDueBy;
  private final Duration startBy;
  private final long promptTokens;
  private final long expectedEvents;
  private final Duration deadline;
  private Optional<Duration> maxQueueTime = Optional.empty();
  private Optional<Duration> queuedUntil = Optional.empty();
  private String account = "";
  private boolean hasResponseStarted;
  private final Set<String> triedServers = new HashSet<>();

  /**
   * Creates a request.
   *
   * @param id the request identifier
   * @param urgency the urgency
   * @param arrivedAt when the request arrived
   * @param firstPartDueBy the latest time at which the first part of the response is on time
   * @param startBy the latest time at which starting the request is still useful
   * @param promptTokens the length of the prompt, or 0
   * @param expectedEvents the expected number of events in the response, or 0
   * @param deadline when the response must be complete
   */
  public PlacementRequest(
      String id,
      Urgency urgency,
      Duration arrivedAt,
      Duration firstPartDueBy,
      Duration startBy,
      long promptTokens,
      long expectedEvents,
      Duration deadline) {
    this.id = id;
    this.urgency = urgency;
    this.arrivedAt = arrivedAt;
    this.firstPartDueBy = firstPartDueBy;
    this.startBy = startBy;
    this.promptTokens = promptTokens;
    this.expectedEvents = expectedEvents;
    this.deadline = deadline;
  }

  /**
   * Creates the request that resumes this one after its response stream was interrupted. The time
   * limits for the next event count from now.
   *
   * @param now the current time
   * @param gapObjective the longest event gap that is on time
   * @param maxWait how much longer the caller is expected to wait for the next event
   * @return the resumed request
   */
  public PlacementRequest resumed(Duration now, Duration gapObjective, Duration maxWait) {
    PlacementRequest next =
        new PlacementRequest(
            id,
            urgency,
            now,
            now.plus(gapObjective),
            now.plus(maxWait),
            promptTokens,
            expectedEvents,
            deadline);
    next.account = account;
    next.triedServers.addAll(triedServers);
    next.hasResponseStarted = true;
    return next;
  }

  /**
   * Returns the request identifier.
   *
   * @return the identifier
   */
  public String id() {
    return id;
  }

  /**
   * Returns the urgency.
   *
   * @return the urgency
   */
  public Urgency urgency() {
    return urgency;
  }

  /**
   * Returns when the request arrived.
   *
   * @return the time of arrival
   */
  public Duration arrivedAt() {
    return arrivedAt;
  }

  /**
   * Returns the latest time at which starting the request is still useful.
   *
   * @return the latest start
   */
  public Duration startBy() {
    return startBy;
  }

  /**
   * Sets the client account that sent the request.
   *
   * @param name the name of the account
   */
  public void assignAccount(String name) {
    account = name;
  }

  String account() {
    return account;
  }

  /**
   * Limits the time for which the request waits for a slot before it is sent to a server for the
   * first time.
   *
   * @param newMaxQueueTime the longest time from the submission
   */
  public void limitQueueTime(Duration newMaxQueueTime) {
    maxQueueTime = Optional.of(newMaxQueueTime);
  }

  /** Records that the request begins to wait for a slot. */
  void markQueued(Duration now) {
    queuedUntil = maxQueueTime.map(now::plus);
  }

  /** Lets the request wait longer, because for a time this process could not start it. */
  void extendQueueTime(Duration time) {
    queuedUntil = queuedUntil.map(time::plus);
  }

  /** Returns until when the request waits for a slot. */
  Duration waitsUntil() {
    return queuedUntil
        .filter(until -> !wasPlacedBefore())
        .map(until -> Comparators.min(until, startBy))
        .orElse(startBy);
  }

  /** Returns whether the first part of the response would be late at the given time. */
  boolean isLate(Duration firstPartAt) {
    return firstPartAt.compareTo(firstPartDueBy) > 0;
  }

  /** Returns the time after the arrival within which the first part is on time. */
  Duration firstPartObjective() {
    return firstPartDueBy.minus(arrivedAt);
  }

  long promptTokens() {
    return promptTokens;
  }

  long expectedEvents() {
    return expectedEvents;
  }

  Duration deadline() {
    return deadline;
  }

  void markTried(String serverId) {
    triedServers.add(serverId);
  }

  /** Returns whether the request was sent to a server before. */
  boolean wasPlacedBefore() {
    return !triedServers.isEmpty();
  }

  /** Returns whether part of the response was sent to the caller. */
  boolean hasResponseStarted() {
    return hasResponseStarted;
  }

  boolean hasTried(String serverId) {
    return triedServers.contains(serverId);
  }
}
