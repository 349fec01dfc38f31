package org.wigeonstage.request;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Optional;
import java.util.UUID;

/**
 * Names a request across the caller's own retries.
 *
 * @param account the client account that the key belongs to
 * @param value the caller's text, 1 to 128 characters
 * @param bodyDigest a digest of method, path and body, to recognise another request under this key
 */
public record IdempotencyKey(String account, String value, String bodyDigest) {

  private static final int MAX_LENGTH = 128;
  private static final int UUID_VERSION_WITH_TIME = 7;

  /** Checks the text's length. */
  public IdempotencyKey {
    checkArgument(!value.isEmpty(), "idempotency key must not be empty");
    checkArgument(value.length() <= MAX_LENGTH, "idempotency key must not exceed 128 characters");
  }

  /**
   * Returns the key of a call.
   *
   * @param account the client account
   * @param value the caller's text
   * @param call the call whose method, path and body the digest covers
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
   * Returns the name under which claims are kept.
   *
   * @return account and text, without the digest
   */
  public String claimName() {
    return account + '\n' + value;
  }

  /**
   * Returns when the key was made, where its text carries the time.
   *
   * @return the time in a version 7 UUID, or empty for any other text
   */
  public Optional<Instant> createdAt() {
    try {
      UUID uuid = UUID.fromString(value);
      return uuid.version() == UUID_VERSION_WITH_TIME
          ? Optional.of(Instant.ofEpochMilli(uuid.getMostSignificantBits() >>> 16))
          : Optional.empty();
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
