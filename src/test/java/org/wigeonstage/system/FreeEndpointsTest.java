package org.wigeonstage.system;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import org.junit.jupiter.api.Test;

class FreeEndpointsTest {

  private static final int SAMPLES = 50;

  private static int portAssignedBySystem() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  /** The system may assign its ports to connections of any process at any time. */
  @Test
  void portsAreBelowThoseThatTheSystemAssigns() throws IOException {
    for (int i = 0; i < SAMPLES; i++) {
      assertThat(FreeEndpoints.next().port()).isLessThan(portAssignedBySystem());
    }
  }
}
