package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.io.Closer;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.wigeonstage.gateway.ScriptedServer.Ending;

/** Tests servers that say in their responses that they leave, or want nothing for some time. */
class UnwillingServerIT {

  private static final Duration INTERVAL = Duration.ofMillis(20);

  private final Closer closer = Closer.create();
  private final List<Instant> arrivals = new CopyOnWriteArrayList<>();
  private GatewayFixture fixture;

  /** Starts a willing server beside one whose responses have additional fields. */
  private void start(String status, String fields) throws Exception {
    ScriptedServer willing =
        closer.register(new ScriptedServer((id, position) -> ScriptedServer.success(id)));
    ScriptedServer unwilling =
        closer.register(
            ScriptedServer.afterWarmUp(
                (id, position) -> {
                  arrivals.add(Instant.now());
                  return ScriptedServer.response(
                      status, "Attempt-Id: " + id + "\r\nResponse-Signature: s\r\n" + fields);
                },
                Ending.KEPT));
    fixture = closer.register(GatewayFixture.with(willing));
    fixture.store.write("servers", "unwilling", unwilling.registration());
  }

  @AfterEach
  void stop() throws IOException {
    closer.close();
  }

  /** Sends requests for a time; returns when the first one reached the unwilling server. */
  private Instant sendRequests(Duration length) throws Exception {
    Instant end = Instant.now().plus(length);
    for (int i = 0; Instant.now().isBefore(end); i++) {
      assertThat(GatewayFixture.statusOf(fixture.request("status", "r" + i))).isEqualTo(200);
      Thread.sleep(INTERVAL.toMillis());
    }
    assertThat(arrivals).isNotEmpty();
    return arrivals.get(0);
  }

  private long arrivalsBetween(Instant from, Instant to) {
    return arrivals.stream().filter(time -> time.isAfter(from) && time.isBefore(to)).count();
  }

  @Test
  @Tag("known-red")
  void serverThatSaysItLeavesGetsNoNewRequestsAfterTheLeavingTime() throws Exception {
    start("200 OK", "Server-Leaving: 1\r\n");
    Instant first = sendRequests(Duration.ofSeconds(4));
    assertThat(arrivalsBetween(first.plusSeconds(2), Instant.now())).isZero();
  }

  @Test
  void serverThatWantsNothingForSomeTimeGetsAtMostTwoRequestsInIt() throws Exception {
    start("503 Service Unavailable", "Not-Executed: 1\r\nRetry-After: 4\r\n");
    Instant first = sendRequests(Duration.ofSeconds(4));
    assertThat(arrivalsBetween(first.plusMillis(500), first.plusSeconds(4))).isLessThanOrEqualTo(2);
  }
}
