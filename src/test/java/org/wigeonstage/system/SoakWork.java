package org.wigeonstage.system;

import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;

/**
 * What a request asks of its backend server. It travels in the request's query.
 *
 * @param path the route's path
 * @param workMillis the time until the answer begins
 * @param sentBytes the length of the request's body
 * @param answerBytes the length of a plain answer
 * @param events the number of events of a stream, or 0
 * @param gapMillis the time between events
 */
record SoakWork(
    String path, long workMillis, int sentBytes, int answerBytes, int events, long gapMillis) {

  private static final String ONCE = "/plain/x";
  private static final String REPEATABLE = "/status/x";
  private static final String STREAM = "/stream/x";

  static SoakWork plain(long workMillis, int answerBytes) {
    return new SoakWork(ONCE, workMillis, 0, answerBytes, 0, 0);
  }

  static SoakWork stream(int events, long gapMillis) {
    return new SoakWork(STREAM, 0, 0, 0, events, gapMillis);
  }

  /** Draws a request: mostly short ones, some long, a third of them streams. */
  static SoakWork draw(SplittableRandom random) {
    if (random.nextInt(3) == 0) {
      boolean isLong = random.nextInt(8) == 0;
      int events = isLong ? random.nextInt(50, 150) : random.nextInt(1, 30);
      return stream(events, random.nextInt(1, 40));
    }
    String path = random.nextBoolean() ? ONCE : REPEATABLE;
    long work = random.nextInt(10) == 0 ? random.nextInt(300, 900) : random.nextInt(0, 120);
    int sent = random.nextInt(4) == 0 ? random.nextInt(1, 40_000) : 0;
    int answer = random.nextInt(6) == 0 ? random.nextInt(1, 400_000) : random.nextInt(0, 2_000);
    return new SoakWork(path, work, sent, answer, 0, 0);
  }

  /** Reads a query; a request without one is answered at once, with an empty body. */
  static SoakWork parse(@Nullable String query) {
    if (query == null) {
      return plain(0, 0);
    }
    String[] parts = query.split(",");
    return new SoakWork(
        "",
        Long.parseLong(parts[0]),
        Integer.parseInt(parts[1]),
        Integer.parseInt(parts[2]),
        Integer.parseInt(parts[3]),
        Long.parseLong(parts[4]));
  }

  String target() {
    return "%s?%d,%d,%d,%d,%d"
        .formatted(path, workMillis, sentBytes, answerBytes, events, gapMillis);
  }

  boolean isStream() {
    return events > 0;
  }

  boolean mayRunTwice() {
    return !path.equals(ONCE);
  }
}
