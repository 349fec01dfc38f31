package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.io.Closer;
import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.Polling;
import org.wigeonstage.fleet.FleetStore;
import org.wigeonstage.platform.standin.Rehearsal;
import org.wigeonstage.platform.standin.StoreStandin;
import org.wigeonstage.store.StoreException;

/**
 * Tests gateways that know less than their peers when the store has lost the removal of a route.
 * The operator does not write it again.
 */
class RestoredConfigurationIT {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final Duration REVOCATION_DELAY = Duration.ofSeconds(5);
  private static final Duration OBSERVED_TIME = Duration.ofSeconds(3);

  private final Closer closer = Closer.create();
  private final GatewayFixture fixture =
      closer.register(
          new GatewayFixture(
              2,
              Rehearsal.configuration(),
              JsonNodeFactory.instance
                  .objectNode()
                  .put("isFirstStart", false)
                  .put("revocationMillis", REVOCATION_DELAY.toMillis())));
  private final StoreStandin store = fixture.store;
  private int requestCount;

  @AfterEach
  void stop() throws IOException {
    closer.close();
  }

  private int request(GatewayProcess gateway, String route) {
    String fields = "Connection: close\r\nDeadline-Ms: 2500\r\n";
    try (Socket socket = GatewayFixture.send(gateway, route, "r-" + requestCount++, fields)) {
      return GatewayFixture.statusOf(GatewayFixture.readResponse(socket));
    } catch (IOException e) {
      return 0;
    }
  }

  private void awaitStatus(GatewayProcess gateway, String route, int status)
      throws InterruptedException {
    assertThat(Polling.await(() -> request(gateway, route) == status, TIMEOUT)).isTrue();
  }

  private void removePlainRoute() {
    ObjectNode configuration = Rehearsal.configuration().put("version", 2);
    var routes = configuration.withArray("routes");
    for (int i = routes.size() - 1; i >= 0; i--) {
      if (routes.get(i).path("name").asText().contains("plain")) {
        routes.remove(i);
      }
    }
    store.write("config", "main", configuration);
  }

  /** Returns the statuses of requests on the removed route, and awaits that another is served. */
  private List<Integer> observeRemovedRoute(GatewayProcess gateway) throws InterruptedException {
    List<Integer> statuses = new ArrayList<>();
    boolean isServed = false;
    long end = System.nanoTime() + OBSERVED_TIME.toNanos();
    while (System.nanoTime() < end) {
      statuses.add(request(gateway, "plain"));
      isServed |= request(gateway, "status") == 200;
      Thread.sleep(20);
    }
    assertThat(isServed).as("the other route is served").isTrue();
    return statuses;
  }

  /** Guards against a started gateway that takes the earlier configuration of a restored store. */
  @Test
  void startedGatewayServesNoRouteThatItsPeersKnowToBeRemoved() throws Exception {
    GatewayProcess second = fixture.startGateway("gateway-2");
    awaitStatus(fixture.gateway, "plain", 200);
    awaitStatus(second, "plain", 200);
    StoreStandin.Copy copy = store.copy();
    removePlainRoute();
    awaitStatus(fixture.gateway, "plain", 404);
    second.close();
    store.restore(copy);
    GatewayProcess started = fixture.startGateway("gateway-2");
    assertThat(observeRemovedRoute(started)).doesNotContain(200).contains(404);
    assertThat(request(fixture.gateway, "status")).isEqualTo(200);
  }

  /** Guards against an equal version that confirms a configuration which peers have replaced. */
  @Test
  void gatewayThatTheStoreHadTurnedAwayServesNoRouteThatItsPeersKnowToBeRemoved() throws Exception {
    AtomicBoolean isTurnedAway = new AtomicBoolean();
    GatewayProcess second =
        fixture.startGateway("gateway-2", delegate -> refusing(delegate, isTurnedAway));
    awaitStatus(fixture.gateway, "plain", 200);
    awaitStatus(second, "plain", 200);
    StoreStandin.Copy copy = store.copy();
    isTurnedAway.set(true);
    removePlainRoute();
    awaitStatus(fixture.gateway, "plain", 404);
    awaitStatus(second, "plain", 503);
    store.restore(copy);
    isTurnedAway.set(false);
    assertThat(observeRemovedRoute(second)).doesNotContain(200).contains(404);
    assertThat(request(fixture.gateway, "status")).isEqualTo(200);
  }

  private static FleetStore refusing(FleetStore delegate, AtomicBoolean isTurnedAway) {
    return (FleetStore)
        Proxy.newProxyInstance(
            FleetStore.class.getClassLoader(),
            new Class<?>[] {FleetStore.class},
            (proxy, method, arguments) -> {
              try {
                Object result = method.invoke(delegate, arguments);
                if (isTurnedAway.get() && !method.getName().equals("era")) {
                  throw new StoreException(ErrorCode.STORE_UNAVAILABLE, "turned away", null);
                }
                return result;
              } catch (InvocationTargetException e) {
                throw e.getCause();
              }
            });
  }
}
