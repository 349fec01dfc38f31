package org.wigeonstage.http;

import java.time.Duration;

/**
 * Limits of an {@link HttpServer}.
 *
 * @param maxHeadBytes the maximum size of the request line and all header fields together, in bytes
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param idleTimeout how long a connection without a request is kept open
 * @param handlerThreads the number of threads that run the request handler
 */
public record ServerOptions(
    int maxHeadBytes, int maxBodyBytes, Duration idleTimeout, int handlerThreads) {

  private static final int DEFAULT_MAX_HEAD_BYTES = 8192;
  private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(30);
  private static final int DEFAULT_HANDLER_THREADS = 4;

  /**
   * Returns default options with the given limit for request bodies.
   *
   * @param maxBodyBytes the maximum size of a request body, in bytes
   * @return the options
   */
  public static ServerOptions withBodyLimit(int maxBodyBytes) {
    return new ServerOptions(
        DEFAULT_MAX_HEAD_BYTES, maxBodyBytes, DEFAULT_IDLE_TIMEOUT, DEFAULT_HANDLER_THREADS);
  }
}
