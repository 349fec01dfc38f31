package org.wigeonstage.gateway;

import java.util.Optional;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.KeyHash;
import org.wigeonstage.routes.ClientAccount;

/** Finds the client account that holds the caller's key. */
final class KeyFilter implements InboundFilter {

  @Override
  public Optional<Rejection> apply(InboundCall call) {
    if (!call.table().needsKeys() || call.route().isOpen()) {
      return Optional.empty();
    }
    Optional<ClientAccount> account =
        call.fields().key().flatMap(key -> call.table().account(KeyHash.of(key)));
    if (account.isEmpty()) {
      return Optional.of(Rejection.of(ErrorCode.UNAUTHORIZED, "the key is not known"));
    }
    call.account(account.get());
    return Optional.empty();
  }
}
