package org.wigeonstage.fuzz;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/** A clock that only changes when it is advanced. */
final class ManualClock implements InstantSource {

  private Instant now = Instant.parse("2026-01-01T00:00:00Z");

  @Override
  public Instant instant() {
    return now;
  }

  void advance(Duration time) {
    now = now.plus(time);
  }
}
