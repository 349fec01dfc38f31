package org.wigeonstage.system;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import org.wigeonstage.http.Endpoint;

/** Chooses loopback endpoints at which processes listen later. */
final class FreeEndpoints {

  /**
   * First port of a range below the ephemeral ports. Outgoing connections do not occupy these ports
   * before the process listens, or while it restarts.
   */
  private static final int FIRST_PORT = 20_000;

  private static final int LAST_PORT = 32_000;

  private FreeEndpoints() {}

  /** Returns an endpoint at which nothing listens. */
  static Endpoint next() {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return new Endpoint("127.0.0.1", socket.getLocalPort());
      } catch (IOException e) {
        // The port is in use; try another one.
      }
    }
  }
}
