package org.wigeonstage.system;

/** The milliseconds since a soak's start. */
final class SoakClock {

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final long start = System.nanoTime();

  long millis() {
    return (System.nanoTime() - start) / NANOS_PER_MILLI;
  }
}
