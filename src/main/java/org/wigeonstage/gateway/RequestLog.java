package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.crash.PromptAdmission;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.forward.AttemptFailure;
import org.wigeonstage.forward.Verdict;
import org.wigeonstage.http.Arrival;
import org.wigeonstage.placement.PlacementRequest;
import org.wigeonstage.placement.RefusalReason;
import org.wigeonstage.placement.ServerEstimate;

/**
 * Collects the log entries of one request until it ends, so that either all of them are written or
 * none.
 */
final class RequestLog {

  private final String requestId;
  private final Duration arrivedAt;
  private final MonotonicClock clock;
  private final List<Entry> entries = new ArrayList<>();
  private boolean notable;

  RequestLog(String requestId, Duration arrivedAt, MonotonicClock clock) {
    this.requestId = requestId;
    this.arrivedAt = arrivedAt;
    this.clock = clock;
  }

  /** One decision on the request, with the values on which it is based. */
  final class Entry {

    private final Map<String, Object> fields = new LinkedHashMap<>();

    Entry put(String name, Object value) {
      fields.put(name, value);
      return this;
    }

    /** Marks the request as notable (not simply served), so that its whole log is written. */
    Entry markNotable() {
      RequestLog.this.notable = true;
      return this;
    }

    Map<String, Object> fields() {
      return fields;
    }
  }

  /** Adds an entry with the request's identifier and the time since its arrival. */
  Entry addEntry(String event) {
    Entry entry =
        new Entry()
            .put("event", event)
            .put("request", requestId)
            .put("sinceArrivalMillis", clock.elapsed().minus(arrivedAt).toMillis());
    entries.add(entry);
    return entry;
  }

  /** Adds an entry with what is known about a request that passed all filters. */
  void addAcceptance(
      InboundRequest inbound, PlacementRequest placement, String poolName, Duration timeLimit) {
    Arrival arrival = inbound.exchange().arrival();
    Duration now = clock.elapsed();
    addEntry("accepted")
        .put("connectionAgeMillis", now.minus(arrival.acceptedAt()).toMillis())
        .put("unreadMillis", arrival.maxReadDelay().toMillis())
        .put("sinceReadMillis", now.minus(arrival.readAt()).toMillis())
        .put("route", inbound.route().name())
        .put("kind", inbound.route().kind().name())
        .put("pool", poolName)
        .put("account", inbound.account().map(account -> account.name()).orElse(""))
        .put("accountRank", placement.urgency().accountRank())
        .put("routeRank", placement.urgency().routeRank())
        .put("lengthHint", inbound.fields().expectedOutputTokens())
        .put("promptTokens", inbound.fields().promptTokens())
        .put("outputTokens", inbound.fields().maxOutputTokens())
        .put("sharedPromptParts", PromptHolds.text(inbound.fields().sharedPromptParts()))
        .put("configurationVersion", inbound.table().version())
        .put("timeLimitMillis", timeLimit.toMillis());
  }

  /** Adds an entry with the server that was chosen, and what was known about it. */
  Entry addPlacement(
      BackendServer server, ServerEstimate estimate, Duration waited, int attemptNumber) {
    return addEntry("placed")
        .put("server", server.id())
        .put("running", estimate.running())
        .put("runningElsewhere", estimate.runningAtPeers())
        .put("slots", estimate.slots())
        .put("reservedSlot", estimate.isReserved())
        .put("expectedFirstPartMillis", estimate.timeToFirstPart().toMillis())
        .put("waitedMillis", waited.toMillis())
        .put("attempt", attemptNumber);
  }

  /** Adds an entry with the loss of the connection to a server, or the failure to open one. */
  void addLoss(Attempt attempt, Throwable cause) {
    Entry entry =
        addEntry("connection-lost")
            .put("server", attempt.server().id())
            .put("cause", cause.toString());
    attempt.logEndTo(entry);
  }

  /** Adds an entry with the end of an attempt without a complete response. */
  Entry addAttemptEnd(
      Attempt attempt, AttemptFailure failure, boolean hasResponseStarted, Verdict verdict) {
    return addEntry("attempt-ended")
        .put("server", attempt.server().id())
        .put("end", failure.name())
        .put("begun", hasResponseStarted)
        .put("verdict", verdict.name())
        .markNotable();
  }

  /** Adds an entry with the scheduler's refusal. */
  void addRefusal(RefusalReason reason, Duration retryAfter) {
    addEntry("refused").put("reason", reason.name()).put("retryAfterMillis", retryAfter.toMillis());
  }

  /** Adds an entry with the complete response. */
  Entry addResponse(int status, BackendServer server, Duration firstPart, Duration total) {
    return addEntry("answered")
        .put("status", status)
        .put("server", server.id())
        .put("firstPartMillis", firstPart.toMillis())
        .put("totalMillis", total.toMillis());
  }

  /** Adds an entry with a decision about the request's prompt, and what it rests on. */
  Entry addPromptDecision(String event, PromptAdmission admission) {
    return addEntry(event)
        .put("parts", PromptHolds.text(admission.parts()))
        .put("crashes", PromptHolds.text(admission.crashIds()))
        .put("retryAfterMillis", admission.retryAfter().toMillis())
        .markNotable();
  }

  String requestId() {
    return requestId;
  }

  Duration arrivedAt() {
    return arrivedAt;
  }

  boolean isNotable() {
    return notable;
  }

  List<Entry> entries() {
    return entries;
  }
}
