package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.wigeonstage.common.Polling;
import org.wigeonstage.fleet.FleetStore;
import org.wigeonstage.fleet.GatewayRegistration;
import org.wigeonstage.fleet.ServerList;
import org.wigeonstage.fleet.StoreEra;
import org.wigeonstage.fleet.StoredConfiguration;
import org.wigeonstage.platform.standin.Rehearsal;
import org.wigeonstage.platform.standin.RunnerStandin;

/** Tests that the loops of a gateway continue after whatever a call to the store throws. */
class ControlLoopsIT {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final int FAILURES_PER_CALL = 2;

  private final GatewayFixture fixture = new GatewayFixture(1);

  @AfterEach
  void stop() throws IOException {
    fixture.close();
  }

  /** Throws an error and a runtime exception from each kind of call, then delegates. */
  private record FailingStore(FleetStore delegate, AtomicInteger[] calls) implements FleetStore {

    FailingStore(FleetStore delegate) {
      this(delegate, new AtomicInteger[6]);
      for (int i = 0; i < calls.length; i++) {
        calls[i] = new AtomicInteger();
      }
    }

    private void failAtFirst(int kind) {
      int call = calls[kind].getAndIncrement();
      if (call == 0) {
        throw new StackOverflowError("test");
      }
      if (call < FAILURES_PER_CALL) {
        throw new IllegalStateException("test");
      }
    }

    @Override
    public StoreEra era() {
      return delegate.era();
    }

    @Override
    public Optional<StoredConfiguration> readConfiguration() {
      failAtFirst(0);
      return delegate.readConfiguration();
    }

    @Override
    public Optional<StoredConfiguration> awaitConfiguration(Duration maxWait) {
      failAtFirst(1);
      return delegate.awaitConfiguration(maxWait);
    }

    @Override
    public ServerList awaitServers(Duration maxWait) {
      failAtFirst(2);
      return delegate.awaitServers(maxWait);
    }

    @Override
    public ServerList readServers() {
      failAtFirst(3);
      return delegate.readServers();
    }

    @Override
    public List<GatewayRegistration> readGateways() {
      failAtFirst(4);
      return delegate.readGateways();
    }

    @Override
    public List<GatewayRegistration> readRecentGateways() {
      return delegate.readRecentGateways();
    }

    @Override
    public void register(GatewayRegistration registration) {
      failAtFirst(5);
      delegate.register(registration);
    }

    boolean hasFailedInEachWay() {
      for (AtomicInteger count : calls) {
        if (count.get() <= FAILURES_PER_CALL) {
          return false;
        }
      }
      return true;
    }
  }

  @Test
  void configurationServersAndPeersAreFollowedAfterErrors() throws Exception {
    FailingStore[] stores = new FailingStore[1];
    GatewayProcess gateway =
        fixture.startGateway("gateway-2", store -> stores[0] = new FailingStore(store));
    assertThat(Polling.await(() -> stores[0].hasFailedInEachWay(), TIMEOUT)).isTrue();
    assertThat(Polling.await(() -> gateway.peerCount() == 1, TIMEOUT)).isTrue();
    RunnerStandin late = fixture.addServer("runner-late");
    fixture.servers.get(0).setBehaviour(RunnerStandin.Behaviour.DECLINES);
    assertThat(awaitStatus(gateway, 200)).isTrue();
    assertThat(late.runs()).isNotEmpty();
    ObjectNode withoutRoutes = Rehearsal.configuration().put("version", 2);
    withoutRoutes.putArray("routes");
    fixture.store.write("config", "main", withoutRoutes);
    assertThat(awaitStatus(gateway, 404)).isTrue();
  }

  /** Sends requests until one gets the given status. */
  private static boolean awaitStatus(GatewayProcess gateway, int status)
      throws InterruptedException {
    AtomicInteger count = new AtomicInteger();
    return Polling.await(
        () -> {
          String fields = "Connection: close\r\nDeadline-Ms: 2500\r\n";
          String id = "r" + status + "-" + count.getAndIncrement();
          try (Socket socket = GatewayFixture.send(gateway, "status", id, fields)) {
            return GatewayFixture.statusOf(GatewayFixture.readResponse(socket)) == status;
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        },
        TIMEOUT);
  }
}
