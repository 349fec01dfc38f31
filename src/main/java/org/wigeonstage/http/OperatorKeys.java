package org.wigeonstage.http;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.WigeonstageException;

/** Checks operators' keys against their hashes, in constant time. */
public final class OperatorKeys {

  private static final String SCHEME = "Bearer ";

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
  public void require(@Nullable String authorization) {
    if (hashes.isEmpty()) {
      throw new WigeonstageException(
          ErrorCode.FORBIDDEN, "no operator keys are set in this entry's settings");
    }
    boolean valid =
        authorization != null
            && authorization.startsWith(SCHEME)
            && hashOf(authorization.substring(SCHEME.length()).trim()) != null;
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
  public @Nullable String hashOf(String key) {
    String hash = Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
    String found = null;
    for (String candidate : hashes) {
      if (areEqual(candidate, hash)) {
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

  /**
   * Compares two texts in constant time.
   *
   * @param left a text
   * @param right another one
   * @return whether they are equal
   */
  public static boolean areEqual(String left, String right) {
    return MessageDigest.isEqual(
        left.getBytes(StandardCharsets.UTF_8), right.getBytes(StandardCharsets.UTF_8));
  }
}
