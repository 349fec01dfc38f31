package org.wigeonstage.system;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wigeonstage.http.Endpoint;

/** Tests that a process that ends at its start is reported at once. */
class ProcessFleetIT {

  @TempDir Path directory;

  /** A process can't listen on the local port of a connection that another process has opened. */
  @Test
  void agentThatCannotListenIsReportedAsEnded() throws IOException {
    try (ProcessFleet fleet = new ProcessFleet(directory);
        ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        Socket connection = new Socket(server.getInetAddress(), server.getLocalPort())) {
      Endpoint taken = new Endpoint("127.0.0.1", connection.getLocalPort());
      assertThatThrownBy(
              () ->
                  fleet.startAgent(
                      "agent-1", "model", taken, FreeEndpoints.next(), FreeEndpoints.next()))
          .isInstanceOf(AssertionError.class)
          .hasMessageContainingAll("agent-1 ended with exit value", "can't listen on " + taken);
    }
  }
}
