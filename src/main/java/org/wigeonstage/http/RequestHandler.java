package org.wigeonstage.http;

/** Answers the requests of an {@link HttpServer}. */
@FunctionalInterface
public interface RequestHandler {

  /**
   * Answers a request, now or later, on any thread.
   *
   * <p>A thrown {@link org.wigeonstage.common.WigeonstageException} becomes a problem answer.
   *
   * @param exchange the request, whole, and the way to its answer
   */
  void handle(ServerExchange exchange);
}
