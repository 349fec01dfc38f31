package org.wigeonstage.admission;

import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.KeyHash;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.config.AccountSpec;

/** Finds the client account of the bearer key. */
final class AuthenticationFilter implements AdmissionFilter {

  @Override
  public void apply(AdmissionContext context) {
    String hash =
        KeyHash.ofBearer(context.request().authorization())
            .orElseThrow(
                () -> new WigeonstageException(ErrorCode.UNAUTHORIZED, "a bearer key is required"));
    AccountSpec account = find(context, hash);
    if (account == null) {
      throw new WigeonstageException(ErrorCode.UNAUTHORIZED, "the bearer key is not known");
    }
    context.account(account);
  }

  /** Compares with every key hash, each in constant time. */
  private static @Nullable AccountSpec find(AdmissionContext context, String hash) {
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
