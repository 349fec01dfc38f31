package org.wigeonstage.placement;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

/** A request as the scheduler sees it. Not safe for use by several threads. */
public final class PlacementRequest {

  private final String id;
  private final Urgency urgency;
  private final Duration arrivedAt;
  private final Duration onTimeUntil;
  private final Duration startBy;
  private final long promptTokens;
  private final long expectedEvents;
  private final Duration deadline;
  private boolean hasBegun;
  private final Set<String> triedServers = new HashSet<>();

  /**
   * Creates a request.
   *
   * @param id its identifier
   * @param urgency its urgency
   * @param arrivedAt when it arrived
   * @param onTimeUntil until when the first part of its answer is on time
   * @param startBy the latest start that is of use
   * @param promptTokens the length of its prompt, or 0
   * @param expectedEvents the expected number of events of its answer, or 0
   * @param deadline when its whole answer must be there
   */
  public PlacementRequest(
      String id,
      Urgency urgency,
      Duration arrivedAt,
      Duration onTimeUntil,
      Duration startBy,
      long promptTokens,
      long expectedEvents,
      Duration deadline) {
    this.id = id;
    this.urgency = urgency;
    this.arrivedAt = arrivedAt;
    this.onTimeUntil = onTimeUntil;
    this.startBy = startBy;
    this.promptTokens = promptTokens;
    this.expectedEvents = expectedEvents;
    this.deadline = deadline;
  }

  /**
   * Returns the same request as it goes on after its answer broke off. Its caller waits for the
   * next part as from now.
   *
   * @param now the time
   * @param pauseObjective the longest pause that is on time
   * @param patience the longest pause after which the caller is still there
   * @return the request to place again
   */
  public PlacementRequest resumed(Duration now, Duration pauseObjective, Duration patience) {
    PlacementRequest next =
        new PlacementRequest(
            id,
            urgency,
            now,
            now.plus(pauseObjective),
            now.plus(patience),
            promptTokens,
            expectedEvents,
            deadline);
    next.triedServers.addAll(triedServers);
    next.hasBegun = true;
    return next;
  }

  /**
   * Returns the identifier.
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
   * @return the time
   */
  public Duration arrivedAt() {
    return arrivedAt;
  }

  /**
   * Returns the latest start that is of use.
   *
   * @return the time
   */
  public Duration startBy() {
    return startBy;
  }

  /** Returns whether a first part of the answer at a time is late. */
  boolean isLate(Duration firstPartAt) {
    return firstPartAt.compareTo(onTimeUntil) > 0;
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

  void tried(String serverId) {
    triedServers.add(serverId);
  }

  /** Returns whether a server had the request before, so that its caller may have part of it. */
  boolean wasPlacedBefore() {
    return !triedServers.isEmpty();
  }

  /** Returns whether its caller has a part of the answer. */
  boolean hasBegun() {
    return hasBegun;
  }

  boolean hasTried(String serverId) {
    return triedServers.contains(serverId);
  }
}
