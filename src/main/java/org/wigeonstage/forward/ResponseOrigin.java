package org.wigeonstage.forward;

import java.util.Optional;

/**
 * Decides whether a response that arrives on a connection belongs to the request that was sent on
 * it. A faulty server may send an earlier response again, on a connection that serves another
 * request by now, and that response may state that its request did not run.
 *
 * <table>
 * <caption>Responses that belong to the request</caption>
 * <tr><th>ID in the response</th><th>first response on its connection</th><th>belongs</th></tr>
 * <tr><td>of the request</td><td>any</td><td>yes</td></tr>
 * <tr><td>of another request</td><td>any</td><td>no</td></tr>
 * <tr><td>none</td><td>yes</td><td>yes</td></tr>
 * <tr><td>none</td><td>no</td><td>no</td></tr>
 * </table>
 *
 * <p>An earlier response to the same request carries the same ID. A request is therefore never sent
 * again on a connection on which the server may have responded to it.
 */
public final class ResponseOrigin {

  private ResponseOrigin() {}

  /**
   * Returns whether a response belongs to a request.
   *
   * @param requestId the ID that was sent with the request, or an empty text if it has none
   * @param responseId the ID in the response
   * @param isFirstOnConnection whether no other response can have been sent on its connection
   * @return whether the response belongs to the request
   */
  public static boolean belongsTo(
      String requestId, Optional<String> responseId, boolean isFirstOnConnection) {
    return responseId.map(id -> id.equals(requestId)).orElse(isFirstOnConnection);
  }
}
