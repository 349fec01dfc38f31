package org.wigeonstage.request;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Instant;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Identifies one submission of a request. Unique across all entries.
 *
 * @param value the ID, 1 to 64 characters
 */
public record RequestId(String value) {

  private static final int MAX_LENGTH = 64;

  /** Checks the length of the ID. */
  public RequestId {
    checkArgument(!value.isEmpty(), "request id must not be empty");
    checkArgument(value.length() <= MAX_LENGTH, "request id must not exceed 64 characters");
  }

  /**
   * Creates an ID with the given value.
   *
   * @param value the value
   * @return the ID
   */
  public static RequestId of(String value) {
    return new RequestId(value);
  }

  /**
   * Generates an ID in the layout of a version 7 UUID.
   *
   * @param now the time to encode in the ID
   * @return the ID
   */
  public static RequestId create(Instant now) {
    ThreadLocalRandom random = ThreadLocalRandom.current();
    long high = (now.toEpochMilli() << 16) | 0x7000L | random.nextInt(0x1000);
    long low = (random.nextLong() & 0x3FFF_FFFF_FFFF_FFFFL) | 0x8000_0000_0000_0000L;
    return new RequestId(new UUID(high, low).toString());
  }

  @Override
  public String toString() {
    return value;
  }
}
