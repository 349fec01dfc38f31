package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.io.Closer;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wigeonstage.common.ControlExecutors;
import org.wigeonstage.common.Polling;
import org.wigeonstage.platform.standin.Rehearsal;
import org.wigeonstage.platform.standin.RunnerStandin;
import org.wigeonstage.platform.standin.StoreStandin;

/** Tests gateways whose store is restored from copies under load. */
class RestoredStoreIT {

  private static final int GATEWAYS = 3;
  private static final int RESTORES = 3;
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final Duration SERVER_WRITE_INTERVAL = Duration.ofMillis(1200);

  /** The time for which writes are lost, and the time between two restores. */
  private static final Duration COPY_AGE = Duration.ofMillis(1500);

  private static final Duration RESTORE_INTERVAL = Duration.ofSeconds(5);

  /** How long the operator needs to write the configuration again. */
  private static final Duration OPERATOR_DELAY = Duration.ofMillis(400);

  /**
   * The age of the configuration is up to 0.8 of its maximum when the store is restored, because
   * the watch that would have confirmed it ends without a result. The rest is the time that the
   * operator has: 0.9 s with this bound.
   */
  private static final Duration REVOCATION_DELAY = Duration.ofSeconds(5);

  private static final long MAX_MILLIS_UNTIL_CURRENT = 2000;

  private final Closer closer = Closer.create();
  private final DecisionLogCapture decisions = closer.register(new DecisionLogCapture());
  private final GatewayFixture fixture =
      closer.register(
          new GatewayFixture(
              3,
              Rehearsal.configuration(),
              JsonNodeFactory.instance
                  .objectNode()
                  .put("revocationMillis", REVOCATION_DELAY.toMillis())));
  private final List<GatewayProcess> gateways = new ArrayList<>(List.of(fixture.gateway));
  private final Map<String, ObjectNode> registrations = new TreeMap<>();
  private int requestCount;

  @AfterEach
  void stop() throws IOException {
    closer.close();
  }

  private synchronized void writeServers() {
    registrations.forEach((id, registration) -> fixture.store.write("servers", id, registration));
  }

  private static ObjectNode configuration(int version, boolean hasPlain) {
    ObjectNode configuration = Rehearsal.configuration().put("version", version);
    if (!hasPlain) {
      var routes = configuration.withArray("routes");
      for (int i = routes.size() - 1; i >= 0; i--) {
        if (routes.get(i).toString().contains("plain")) {
          routes.remove(i);
        }
      }
    }
    return configuration;
  }

  private int request(GatewayProcess gateway, String route) throws IOException {
    String id = "restored-" + requestCount++;
    String fields = "Connection: close\r\nDeadline-Ms: 2500\r\n";
    try (Socket socket = GatewayFixture.send(gateway, route, id, fields)) {
      return GatewayFixture.statusOf(GatewayFixture.readResponse(socket));
    }
  }

  /** Sends requests to all gateways for a time, and adds statuses that are not expected. */
  private void sendRequests(Duration time, List<String> unexpected) throws Exception {
    long end = System.nanoTime() + time.toNanos();
    while (System.nanoTime() < end) {
      for (GatewayProcess gateway : gateways) {
        int served = request(gateway, "status");
        int removed = request(gateway, "plain");
        if (served != 200 || removed != 404) {
          unexpected.add(requestCount + ": " + served + ", removed route: " + removed);
        }
      }
      Thread.sleep(20);
    }
  }

  /**
   * Guards against requests that are refused because of a restore, a removed route that works
   * again, a server that has left and gets requests again, and a storm of lists.
   */
  @Test
  void requestsAreServedAndNothingIsRevertedWhenTheStoreIsRestored() throws Exception {
    for (int i = 2; i <= GATEWAYS; i++) {
      gateways.add(fixture.startGateway("gateway-" + i));
    }
    for (int i = 0; i < 2; i++) {
      RunnerStandin server = fixture.servers.get(i);
      registrations.put("runner-" + (i + 1), server.registration("engines", "ready"));
    }
    RunnerStandin left = fixture.servers.get(2);
    assertThat(Polling.await(() -> gateways.stream().allMatch(this::serves), TIMEOUT)).isTrue();
    StoreStandin store = fixture.store;
    StoreStandin.Copy early = store.copy();
    store.write("config", "main", configuration(2, false));
    store.remove("servers", "runner-3");
    Thread.sleep(500);
    int runsOfLeftServer = left.runs().size();
    ScheduledExecutorService serverTimer = ControlExecutors.newSingleThreadExecutor("servers");
    closer.register(serverTimer::shutdownNow);
    long interval = SERVER_WRITE_INTERVAL.toMillis();
    serverTimer.scheduleAtFixedRate(this::writeServers, 0, interval, TimeUnit.MILLISECONDS);
    List<String> unexpected = new ArrayList<>();
    int listsOfServers = store.listCount("servers");
    int listsOfConfiguration = store.listCount("config");
    int listsOfGateways = store.listCount("gateways");
    sendRequests(COPY_AGE, unexpected);
    StoreStandin.Copy copy = early;
    for (int restore = 1; restore <= RESTORES; restore++) {
      store.restore(copy);
      sendRequests(OPERATOR_DELAY, unexpected);
      store.write("config", "main", configuration(2, false));
      store.remove("servers", "runner-3");
      sendRequests(RESTORE_INTERVAL.minus(OPERATOR_DELAY).minus(COPY_AGE), unexpected);
      // The copy lacks the first server, which registers again in the meantime.
      copy = restore == 1 ? copyWithoutServer("runner-1") : early;
      sendRequests(COPY_AGE, unexpected);
    }
    assertThat(unexpected).isEmpty();
    assertThat(left.runs()).hasSize(runsOfLeftServer);
    List<String> current = decisions.linesOf("store-current");
    assertThat(current).hasSize(GATEWAYS * RESTORES);
    assertThat(current)
        .allSatisfy(line -> assertThat(millis(line)).isLessThan(MAX_MILLIS_UNTIL_CURRENT));
    assertThat(store.listCount("servers") - listsOfServers).isEqualTo(GATEWAYS * RESTORES);
    assertThat(store.listCount("config") - listsOfConfiguration).isEqualTo(GATEWAYS * RESTORES);
    assertThat(store.listCount("gateways") - listsOfGateways)
        .isBetween(GATEWAYS * RESTORES, GATEWAYS * (RESTORES + 1));
  }

  private boolean serves(GatewayProcess gateway) {
    try {
      return request(gateway, "status") == 200;
    } catch (IOException e) {
      return false;
    }
  }

  private synchronized StoreStandin.Copy copyWithoutServer(String id) {
    fixture.store.remove("servers", id);
    StoreStandin.Copy copy = fixture.store.copy();
    fixture.store.write("servers", id, registrations.get(id));
    return copy;
  }

  private static long millis(String line) {
    return Long.parseLong(line.replaceAll(".*\"millis\":(\\d+).*", "$1"));
  }
}
