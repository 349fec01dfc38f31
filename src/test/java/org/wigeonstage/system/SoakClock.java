package org.wigeonstage.system;

/** Measures the time since the start of a soak test. */
final class SoakClock {

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final long startNanos = System.nanoTime();

  long elapsedMillis() {
    return (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
  }
}
