package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.forward.EventSplitter;

/** Tracks how far a caller's event stream has advanced, over all attempts at it. */
final class StreamProgress {

  private OptionalLong lastEventId;
  private int eventCount;
  private @Nullable Duration lastEventAt;

  /**
   * Creates the progress of a stream.
   *
   * @param lastEventId the identifier of the last event that the caller got by an earlier request,
   *     or empty if the stream starts with its first event
   */
  StreamProgress(OptionalLong lastEventId) {
    this.lastEventId = lastEventId;
  }

  /** Records an event that is passed on to the caller. */
  void recordEvent(EventSplitter.Event event, Duration now) {
    event.id().ifPresent(id -> lastEventId = OptionalLong.of(id));
    eventCount++;
    lastEventAt = now;
  }

  /**
   * Returns the identifier of the last event sent to the caller, after which the stream resumes.
   */
  OptionalLong lastEventId() {
    return lastEventId;
  }

  Optional<Duration> lastEventAt() {
    return Optional.ofNullable(lastEventAt);
  }

  /** Adds the number of events and the time since the last one to a log entry. */
  void logTo(RequestLog.Entry entry, Duration now) {
    entry.put("events", eventCount);
    lastEventAt().ifPresent(at -> entry.put("lastEventMillisAgo", now.minus(at).toMillis()));
  }
}
