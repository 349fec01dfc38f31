package org.wigeonstage.admission;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.config.AccountSpec;

/** Finds the client account of the bearer key. */
final class AuthenticationFilter implements AdmissionFilter {

  private static final String SCHEME = "Bearer ";

  @Override
  public void apply(CallContext context) {
    String authorization = context.request().authorization();
    if (authorization == null || !authorization.startsWith(SCHEME)) {
      throw new WigeonstageException(ErrorCode.UNAUTHORIZED, "a bearer key is required");
    }
    String key = authorization.substring(SCHEME.length()).trim();
    AccountSpec account = find(context, hashOf(key));
    if (account == null) {
      throw new WigeonstageException(ErrorCode.UNAUTHORIZED, "the bearer key is not known");
    }
    context.account(account);
  }

  private static byte[] hashOf(String key) {
    String hash = Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
    return hash.getBytes(StandardCharsets.US_ASCII);
  }

  /** Compares with every key hash, each in constant time. */
  private static @Nullable AccountSpec find(CallContext context, byte[] hash) {
    AccountSpec found = null;
    for (AccountSpec account : context.configuration().accounts()) {
      for (String candidate : account.keyHashes()) {
        if (MessageDigest.isEqual(candidate.getBytes(StandardCharsets.US_ASCII), hash)) {
          found = account;
        }
      }
    }
    return found;
  }
}
