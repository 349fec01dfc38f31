package org.wigeonstage.common;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Hashes of callers' and operators' keys, which are never kept themselves. */
public final class KeyHash {

  private static final String BEARER = "Bearer ";

  private KeyHash() {}

  /**
   * Returns the hash of a key.
   *
   * @param key the key
   * @return its SHA-256 hash, in hexadecimal
   */
  public static String of(String key) {
    return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
  }

  /**
   * Returns the hash of the key in an {@code Authorization} field.
   *
   * @param authorization the field, or null
   * @return the hash, or empty where the field holds no bearer key
   */
  public static Optional<String> ofBearer(@Nullable String authorization) {
    return authorization != null && authorization.startsWith(BEARER)
        ? Optional.of(of(authorization.substring(BEARER.length()).trim()))
        : Optional.empty();
  }

  /**
   * Compares two texts in constant time.
   *
   * @param left a text
   * @param right another one
   * @return whether they are equal
   */
  public static boolean constantTimeEquals(String left, String right) {
    return MessageDigest.isEqual(
        left.getBytes(StandardCharsets.UTF_8), right.getBytes(StandardCharsets.UTF_8));
  }
}
