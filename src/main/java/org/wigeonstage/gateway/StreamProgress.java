package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.forward.EventSplitter;

/** How far a stream has come, over all attempts at it. */
final class StreamProgress {

  private OptionalLong lastEventId;
  private int events;
  private @Nullable Duration lastEventAt;

  /** Creates the progress of a stream whose caller may have had a part of it before. */
  StreamProgress(OptionalLong resumeAfter) {
    this.lastEventId = resumeAfter;
  }

  /** Notes an event that is passed on to the caller. */
  void passedOn(EventSplitter.Event event, Duration now) {
    event.id().ifPresent(id -> lastEventId = OptionalLong.of(id));
    events++;
    lastEventAt = now;
  }

  /**
   * Returns the identifier of the last event that the caller got, after which the stream goes on.
   */
  OptionalLong lastEventId() {
    return lastEventId;
  }

  Optional<Duration> lastEventAt() {
    return Optional.ofNullable(lastEventAt);
  }

  /** Notes how many events came, and when the last one did. */
  void describe(RequestLog.Step step, Duration now) {
    step.put("events", events);
    lastEventAt().ifPresent(at -> step.put("lastEventMillisAgo", now.minus(at).toMillis()));
  }
}
