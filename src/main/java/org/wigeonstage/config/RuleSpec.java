package org.wigeonstage.config;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * A rule for requests. In a pattern, {@code *} matches any text; an absent pattern matches
 * everything. Only the first rule that matches a request applies to it.
 *
 * @param account a pattern of account names, or null
 * @param method an HTTP method, or null for all methods
 * @param path a pattern of paths, or null
 * @param model a pattern of model names, or null
 * @param nonIdempotent whether matching requests may run at most once over all submissions
 * @param tier the name of the tier of matching requests, or null for the tier of their account
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record RuleSpec(
    @Nullable String account,
    @Nullable String method,
    @Nullable String path,
    @Nullable String model,
    boolean nonIdempotent,
    @Nullable String tier) {

  /**
   * Returns whether the rule matches a request.
   *
   * @param requestAccount the account's name
   * @param requestMethod the HTTP method
   * @param requestPath the path without its query
   * @param requestModel the model's name, or the empty string for a plain service
   * @return whether the method and all patterns match
   */
  public boolean matches(
      String requestAccount, String requestMethod, String requestPath, String requestModel) {
    return matchesPattern(account, requestAccount)
        && (method == null || method.equals(requestMethod))
        && matchesPattern(path, requestPath)
        && matchesPattern(model, requestModel);
  }

  private static boolean matchesPattern(@Nullable String pattern, String text) {
    if (pattern == null) {
      return true;
    }
    if (pattern.indexOf('*') < 0) {
      return pattern.equals(text);
    }
    String regex = Pattern.quote(pattern).replace("*", "\\E.*\\Q");
    return Pattern.matches(regex, text);
  }
}
