package org.wigeonstage.request;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Optional;
import java.util.UUID;

/**
 * Identifies a request across all submissions of it by the caller.
 *
 * @param account the client account that uses the key
 * @param value the key that the caller chose, 1 to 128 characters
 * @param requestDigest a digest of method, path and body, to detect the reuse of the key for
 *     another request
 */
public record IdempotencyKey(String account, String value, String requestDigest) {

  private static final int MAX_LENGTH = 128;
  private static final int TIME_ORDERED_UUID_VERSION = 7;

  /** Checks the length of the key. */
  public IdempotencyKey {
    checkArgument(!value.isEmpty(), "idempotency key must not be empty");
    checkArgument(value.length() <= MAX_LENGTH, "idempotency key must not exceed 128 characters");
  }

  /**
   * Creates the key of a request.
   *
   * @param account the client account
   * @param value the key that the caller chose
   * @param call the request whose method, path and body the digest covers
   * @return the key
   */
  public static IdempotencyKey of(String account, String value, HttpCall call) {
    String digest =
        Hashing.sha256()
            .newHasher()
            .putString(call.method(), StandardCharsets.UTF_8)
            .putByte((byte) 0)
            .putString(call.path(), StandardCharsets.UTF_8)
            .putByte((byte) 0)
            .putBytes(call.body())
            .hash()
            .toString();
    return new IdempotencyKey(account, value, digest);
  }

  /**
   * Returns the name under which claims of this key are stored.
   *
   * @return the account and the value, without the digest
   */
  public String claimName() {
    return account + '\n' + value;
  }

  /**
   * Returns the time at which the key was created, if its value contains it.
   *
   * @return the time in a version 7 UUID, or empty for any other value
   */
  public Optional<Instant> createdAt() {
    try {
      UUID uuid = UUID.fromString(value);
      return uuid.version() == TIME_ORDERED_UUID_VERSION
          ? Optional.of(Instant.ofEpochMilli(uuid.getMostSignificantBits() >>> 16))
          : Optional.empty();
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
