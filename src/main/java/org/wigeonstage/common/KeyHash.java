package org.wigeonstage.common;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Hashes the API keys of callers and the keys of operators, which are never stored in plain text.
 */
public final class KeyHash {

  private static final String BEARER_PREFIX = "Bearer ";

  private KeyHash() {}

  /**
   * Returns the hash of a key.
   *
   * @param key the key
   * @return the SHA-256 hash in hexadecimal
   */
  public static String of(String key) {
    return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
  }

  /**
   * Returns the hash of a key that was received in a header field.
   *
   * @param key the value of the field, in which each character stands for one octet
   * @return the SHA-256 hash in hexadecimal; that of a text if the octets are its UTF-8
   */
  public static String ofOctets(String key) {
    return Hashing.sha256().hashString(key, StandardCharsets.ISO_8859_1).toString();
  }

  /**
   * Returns the hash of the key that follows {@code Bearer} in an {@code Authorization} header
   * field.
   *
   * @param authorization the value of the field, or null
   * @return the hash, or empty if the field is missing or has another form
   */
  public static Optional<String> ofBearer(@Nullable String authorization) {
    return authorization != null && authorization.startsWith(BEARER_PREFIX)
        ? Optional.of(ofOctets(authorization.substring(BEARER_PREFIX.length()).trim()))
        : Optional.empty();
  }

  /**
   * Compares two strings in constant time.
   *
   * @param left a string
   * @param right another string
   * @return whether they are equal
   */
  public static boolean constantTimeEquals(String left, String right) {
    return MessageDigest.isEqual(
        left.getBytes(StandardCharsets.UTF_8), right.getBytes(StandardCharsets.UTF_8));
  }
}
