package org.wigeonstage.http;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.KeyHash;
import org.wigeonstage.common.WigeonstageException;

/** Checks operators' keys against their hashes, in constant time. */
public final class OperatorKeys {

  private final List<String> hashes;

  /**
   * Creates a check.
   *
   * @param hashes SHA-256 hashes of the keys, in hexadecimal; where there are none, no key is valid
   */
  public OperatorKeys(List<String> hashes) {
    this.hashes = List.copyOf(hashes);
  }

  /**
   * Refuses a call without a valid key.
   *
   * @param authorization the {@code Authorization} field, or null
   * @throws WigeonstageException with {@link ErrorCode#UNAUTHORIZED}
   */
  public void authenticate(@Nullable String authorization) {
    if (hashes.isEmpty()) {
      throw new WigeonstageException(
          ErrorCode.FORBIDDEN, "no operator keys are set in this entry's settings");
    }
    boolean valid = KeyHash.ofBearer(authorization).map(this::find).isPresent();
    if (!valid) {
      throw new WigeonstageException(ErrorCode.UNAUTHORIZED, "an operator's key is required");
    }
  }

  /**
   * Returns the hash of a key.
   *
   * @param key the key
   * @return its hash, or null where the key is not valid
   */
  public @Nullable String findHash(String key) {
    return find(KeyHash.of(key));
  }

  /** Compares with every hash; returns the one that is equal, or null. */
  private @Nullable String find(String hash) {
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
