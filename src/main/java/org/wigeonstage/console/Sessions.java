package org.wigeonstage.console;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.KeyHash;
import org.wigeonstage.http.OperatorKeys;

/**
 * Issues and checks signed session cookies. A cookie consists of its expiry time and an HMAC of it,
 * whose secret is the hash of the operator's key. Every entry with the same operator keys therefore
 * accepts it, and the load balancer may send an operator to any entry.
 */
final class Sessions {

  static final String COOKIE = "wigeonstage-session";
  private static final Duration LIFETIME = Duration.ofHours(8);

  private final OperatorKeys keys;
  private final InstantSource clock;

  Sessions(OperatorKeys keys, InstantSource clock) {
    this.keys = keys;
    this.clock = clock;
  }

  /** Returns the cookie of a new session, or empty if the key is not valid. */
  Optional<String> signIn(String key) {
    String hash = keys.findHash(key);
    if (hash == null) {
      return Optional.empty();
    }
    String expiry = Long.toString(clock.instant().plus(LIFETIME).toEpochMilli());
    return Optional.of(expiry + "." + sign(hash, "session " + expiry));
  }

  /**
   * Returns the token that the forms of a session contain, which protects against forged requests,
   * or empty if the cookie is not valid.
   */
  Optional<String> formTokenOf(@Nullable String cookies) {
    String cookie = cookieIn(cookies);
    int dot = cookie.indexOf('.');
    if (dot < 0) {
      return Optional.empty();
    }
    String expiry = cookie.substring(0, dot);
    String signature = cookie.substring(dot + 1);
    if (!isInFuture(expiry)) {
      return Optional.empty();
    }
    return keys.hashes().stream()
        .filter(hash -> KeyHash.constantTimeEquals(sign(hash, "session " + expiry), signature))
        .map(hash -> sign(hash, "form " + expiry))
        .findFirst();
  }

  private boolean isInFuture(String expiry) {
    try {
      return Instant.ofEpochMilli(Long.parseLong(expiry)).isAfter(clock.instant());
    } catch (NumberFormatException e) {
      return false;
    }
  }

  private static String cookieIn(@Nullable String cookies) {
    if (cookies == null) {
      return "";
    }
    for (String part : cookies.split(";", -1)) {
      String[] pair = part.trim().split("=", 2);
      if (pair.length == 2 && pair[0].equals(COOKIE)) {
        return pair[1];
      }
    }
    return "";
  }

  private static String sign(String hash, String text) {
    return Hashing.hmacSha256(hash.getBytes(StandardCharsets.UTF_8))
        .hashString(text, StandardCharsets.UTF_8)
        .toString();
  }
}
