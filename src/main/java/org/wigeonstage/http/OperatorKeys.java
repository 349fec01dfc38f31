package org.wigeonstage.http;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.KeyHash;
import org.wigeonstage.common.WigeonstageException;

/** Authenticates operators by comparing the hashes of their keys in constant time. */
public final class OperatorKeys {

  private final List<String> hashes;

  /**
   * Creates an instance.
   *
   * @param hashes the SHA-256 hashes of the valid keys, in hexadecimal; if empty, no key is valid
   */
  public OperatorKeys(List<String> hashes) {
    this.hashes = List.copyOf(hashes);
  }

  /**
   * Checks that a request has a valid operator key.
   *
   * @param authorization the value of the {@code Authorization} field, or null if it is missing
   * @throws WigeonstageException with {@link ErrorCode#FORBIDDEN} if there are no valid keys, or
   *     {@link ErrorCode#UNAUTHORIZED} if the key is missing or not valid
   */
  public void authenticate(@Nullable String authorization) {
    if (hashes.isEmpty()) {
      throw new WigeonstageException(
          ErrorCode.FORBIDDEN, "no operator keys are configured in the settings of this process");
    }
    boolean isValid = KeyHash.ofBearer(authorization).map(this::findMatch).isPresent();
    if (!isValid) {
      throw new WigeonstageException(ErrorCode.UNAUTHORIZED, "a valid operator key is required");
    }
  }

  /**
   * Returns the hash of a valid key.
   *
   * @param key the key
   * @return its hash, or null if the key is not valid
   */
  public @Nullable String findHash(String key) {
    return findMatch(KeyHash.of(key));
  }

  /** Returns the hash equal to the given one, or null. Compares all hashes, for constant time. */
  private @Nullable String findMatch(String hash) {
    String found = null;
    for (String candidate : hashes) {
      if (KeyHash.constantTimeEquals(candidate, hash)) {
        found = candidate;
      }
    }
    return found;
  }

  /**
   * Returns the hashes of all valid keys.
   *
   * @return the hashes
   */
  public List<String> hashes() {
    return hashes;
  }
}
