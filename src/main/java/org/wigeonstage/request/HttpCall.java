package org.wigeonstage.request;

import java.util.Arrays;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * An HTTP request to another server.
 *
 * @param method the HTTP method
 * @param path the path and query, starting with a slash
 * @param contentType the media type of the body, or null if there is no body
 * @param body the body; must not be modified
 */
public record HttpCall(String method, String path, @Nullable String contentType, byte[] body) {

  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof HttpCall that
        && method.equals(that.method)
        && path.equals(that.path)
        && Objects.equals(contentType, that.contentType)
        && Arrays.equals(body, that.body);
  }

  @Override
  public int hashCode() {
    return 31 * path.hashCode() + Arrays.hashCode(body);
  }

  @Override
  public String toString() {
    return method + " " + path + " (" + body.length + " bytes)";
  }
}
