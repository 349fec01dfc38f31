package org.wigeonstage.system;

import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;

/**
 * Describes a request and the response that its backend server sends. The description is encoded in
 * the query of the request.
 *
 * @param path the path of the route, or empty if the request was parsed from a query
 * @param processingMillis the time until the response starts, at a server of normal speed
 * @param requestBytes the length of the request body
 * @param responseBytes the length of the response body, if it is not a stream
 * @param events the number of events in the stream, or 0 if the response is not a stream
 * @param gapMillis the time between events, at a server of normal speed
 */
record SoakRequest(
    String path,
    long processingMillis,
    int requestBytes,
    int responseBytes,
    int events,
    long gapMillis) {

  private static final String NON_IDEMPOTENT_PATH = "/plain/x";
  private static final String IDEMPOTENT_PATH = "/status/x";
  private static final String STREAMING_PATH = "/stream/x";

  static SoakRequest plain(long processingMillis, int responseBytes) {
    return new SoakRequest(NON_IDEMPOTENT_PATH, processingMillis, 0, responseBytes, 0, 0);
  }

  static SoakRequest stream(int events, long gapMillis) {
    return new SoakRequest(STREAMING_PATH, 0, 0, 0, events, gapMillis);
  }

  /** Creates a random request. A third are streams; most requests are short, some are long. */
  static SoakRequest generate(SplittableRandom random) {
    if (random.nextInt(3) == 0) {
      boolean isLong = random.nextInt(8) == 0;
      int events = isLong ? random.nextInt(50, 150) : random.nextInt(1, 30);
      return stream(events, random.nextInt(1, 40));
    }
    String path = random.nextBoolean() ? NON_IDEMPOTENT_PATH : IDEMPOTENT_PATH;
    long processingMillis =
        random.nextInt(10) == 0 ? random.nextInt(300, 900) : random.nextInt(0, 120);
    int requestBytes = random.nextInt(4) == 0 ? random.nextInt(1, 40_000) : 0;
    int responseBytes =
        random.nextInt(6) == 0 ? random.nextInt(1, 400_000) : random.nextInt(0, 2_000);
    return new SoakRequest(path, processingMillis, requestBytes, responseBytes, 0, 0);
  }

  /** Parses a query. Without one, the response is empty and sent immediately. */
  static SoakRequest parse(@Nullable String query) {
    if (query == null) {
      return plain(0, 0);
    }
    String[] parts = query.split(",");
    return new SoakRequest(
        "",
        Long.parseLong(parts[0]),
        Integer.parseInt(parts[1]),
        Integer.parseInt(parts[2]),
        Integer.parseInt(parts[3]),
        Long.parseLong(parts[4]));
  }

  String target() {
    return "%s?%d,%d,%d,%d,%d"
        .formatted(path, processingMillis, requestBytes, responseBytes, events, gapMillis);
  }

  boolean isStream() {
    return events > 0;
  }

  boolean mayRunTwice() {
    return !path.equals(NON_IDEMPOTENT_PATH);
  }
}
