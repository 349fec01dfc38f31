package org.wigeonstage.http;

/** Handles the requests of an {@link HttpServer}. */
@FunctionalInterface
public interface RequestHandler {

  /**
   * Handles a request. The response may be sent after this method returns, and from any thread.
   *
   * <p>If this method throws a {@link org.wigeonstage.common.WigeonstageException}, the server
   * responds with the matching problem details. After any other exception, it logs the exception
   * and responds with an internal error.
   *
   * @param exchange the complete request, through which the response is sent
   */
  void handle(ServerExchange exchange);
}
