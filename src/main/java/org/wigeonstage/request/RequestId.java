package org.wigeonstage.request;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Instant;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Identifies one submission of a request, unique over all entries.
 *
 * @param value the identifier's text, 1 to 64 characters
 */
public record RequestId(String value) {

  private static final int MAX_LENGTH = 64;

  /** Checks the text's length. */
  public RequestId {
    checkArgument(!value.isEmpty(), "request id must not be empty");
    checkArgument(value.length() <= MAX_LENGTH, "request id must not exceed 64 characters");
  }

  /**
   * Returns the identifier with the given text.
   *
   * @param value the text
   * @return the identifier
   */
  public static RequestId of(String value) {
    return new RequestId(value);
  }

  /**
   * Returns a new identifier in the layout of a version 7 UUID.
   *
   * @param now the time that the identifier carries
   * @return the identifier
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
