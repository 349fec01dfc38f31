package org.wigeonstage.gateway;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.KeyHash;
import org.wigeonstage.routes.ClientAccount;

/** Finds the client account that holds the caller's key. */
final class AuthenticationFilter implements InboundFilter {

  /** Longer keys are none that operators hand out, and would take much memory. */
  private static final int MAX_REMEMBERED_LENGTH = 128;

  private final Map<String, String> hashes = new HashMemory();

  @Override
  public Optional<Rejection> apply(InboundRequest call) {
    if (!call.table().requiresKeys() || call.route().allowsAnonymous()) {
      return Optional.empty();
    }
    Optional<ClientAccount> account =
        call.fields().apiKey().flatMap(key -> call.table().account(hashOf(key)));
    if (account.isEmpty()) {
      return Optional.of(Rejection.of(ErrorCode.UNAUTHORIZED, "the key is not known"));
    }
    call.account(account.get());
    return Optional.empty();
  }

  private String hashOf(String key) {
    return key.length() > MAX_REMEMBERED_LENGTH
        ? KeyHash.of(key)
        : hashes.computeIfAbsent(key, KeyHash::of);
  }

  /** Remembers the hashes of the keys that came last, because hashing is slow after a start. */
  private static final class HashMemory extends LinkedHashMap<String, String> {

    private static final long serialVersionUID = 1L;

    /** Three times the client accounts that are expected. */
    private static final int MAX_KEYS = 1024;

    @Override
    protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
      return size() > MAX_KEYS;
    }
  }
}
