package org.wigeonstage.gateway;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.http.Endpoint;

/** Selects which pooled connections the attempts of one request may use. */
final class ConnectionSelector {

  /**
   * Maximum idle time of the pooled connection on which a request is sent. Servers announce how
   * long they keep idle connections open; that limit applies as well.
   */
  private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(30);

  /**
   * A request that must not be sent twice, or was sent before, uses a pooled connection only if it
   * has been idle for less than this. Servers close idle connections after seconds, and a request
   * on a connection that is closed meanwhile is lost.
   */
  private static final Duration MAX_IDLE_TIME_WITHOUT_RETRY = Duration.ofMillis(500);

  private final boolean hasRequestId;
  private final Set<Endpoint> respondedServers = new HashSet<>();

  /**
   * Creates a selector.
   *
   * @param hasRequestId whether the request has an ID, by which its responses are identified
   */
  ConnectionSelector(boolean hasRequestId) {
    this.hasRequestId = hasRequestId;
  }

  /** Records that a server has responded to an attempt. */
  void recordResponse(BackendServer server) {
    respondedServers.add(server.address());
  }

  /**
   * Returns the maximum idle time of the connection for the next attempt, or zero if it needs a new
   * connection: a server that has responded to the request may send that response again on the
   * connections that it has, and without an ID any earlier response might be taken for its own.
   *
   * @param canBeSentAgain whether the request can be sent again if its connection proves closed
   */
  Duration maxIdleTime(BackendServer server, boolean canBeSentAgain) {
    if (!hasRequestId || respondedServers.contains(server.address())) {
      return Duration.ZERO;
    }
    return canBeSentAgain ? MAX_IDLE_TIME : MAX_IDLE_TIME_WITHOUT_RETRY;
  }
}
