package org.wigeonstage.admission;

import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.KeyHash;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.config.AccountSpec;

/** Authenticates the client account by its API key, which is sent as a bearer token. */
final class AuthenticationFilter implements AdmissionFilter {

  @Override
  public void apply(AdmissionContext context) {
    String hash =
        KeyHash.ofBearer(context.request().authorization())
            .orElseThrow(
                () ->
                    new WigeonstageException(
                        ErrorCode.UNAUTHORIZED, "an API key is required as a bearer token"));
    AccountSpec account = findAccount(context, hash);
    if (account == null) {
      throw new WigeonstageException(
          ErrorCode.UNAUTHORIZED, "the API key belongs to no client account");
    }
    context.account(account);
  }

  /**
   * Returns the account with the given key hash, or null. Compares the hash with those of all
   * accounts, each in constant time, so that the response time reveals nothing about the keys.
   */
  private static @Nullable AccountSpec findAccount(AdmissionContext context, String hash) {
    AccountSpec found = null;
    for (AccountSpec account : context.configuration().accounts()) {
      for (String candidate : account.keyHashes()) {
        if (KeyHash.constantTimeEquals(candidate, hash)) {
          found = account;
        }
      }
    }
    return found;
  }
}
