package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wigeonstage.gateway.GatewayFixture.statusOf;

import com.google.common.io.Closer;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wigeonstage.gateway.ScriptedServer.Ending;

/** Guards against callers that take servers out by responses which they provoke. */
class ProvokedResponseIT {

  private static final int REQUESTS = 10;

  private final Closer closer = Closer.create();
  private GatewayFixture fixture;

  /** Starts a server that declares itself another one to requests with certain IDs. */
  private void start() throws Exception {
    ScriptedServer server =
        closer.register(
            ScriptedServer.afterWarmUp(
                (id, position) ->
                    id.startsWith("misdirected")
                        ? ScriptedServer.response(
                            "421 Misdirected Request",
                            "Attempt-Id: " + id + "\r\nNot-Executed: 1\r\n")
                        : ScriptedServer.success(id),
                Ending.KEPT));
    fixture = closer.register(GatewayFixture.with(server));
  }

  @AfterEach
  void stop() throws IOException {
    closer.close();
  }

  @Test
  void requestForAVersionThatNoServerHasTakesNoServerOut() throws Exception {
    start();
    for (int i = 0; i < REQUESTS; i++) {
      String response = fixture.request("status", "misdirected-" + i, "Required-Version: 999");
      assertThat(statusOf(response)).isIn(421, 503);
      assertThat(statusOf(fixture.request("status", "sound-" + i))).isEqualTo(200);
    }
  }

  @Test
  void serverThatIsNotTheNamedOneGetsNoFurtherRequests() throws Exception {
    start();
    assertThat(statusOf(fixture.request("status", "misdirected"))).isEqualTo(503);
    assertThat(statusOf(fixture.request("status", "sound"))).isEqualTo(503);
  }
}
