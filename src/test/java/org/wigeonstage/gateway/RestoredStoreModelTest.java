package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.Sets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.wigeonstage.common.ClockReading;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.fleet.ServerList;
import org.wigeonstage.fleet.ServerRetention;
import org.wigeonstage.fleet.StoreEra;
import org.wigeonstage.fleet.StoredConfiguration;
import org.wigeonstage.rollout.RestoredOrders;
import org.wigeonstage.rollout.RolloutOrder;
import org.wigeonstage.rollout.RolloutState;

/** Replays restores in virtual time, with random orders of writes, losses, restores and kills. */
class RestoredStoreModelTest {

  private static final int SEEDS = 4000;
  private static final int GATEWAYS = 3;
  private static final int END_OF_FAULTS_MILLIS = 20_000;
  private static final int END_MILLIS = 30_000;
  private static final int SERVER_WRITE_MILLIS = 1200;
  private static final double LOSS = 0.1;

  /** One run of the model. */
  private static final class Run {
    private final SplittableRandom random;
    private final VirtualTime time;
    private final SimulatedStore store = new SimulatedStore();
    private final List<Gateway> gateways = new ArrayList<>();
    private final Set<String> liveServers = new TreeSet<>();
    private final ArrayDeque<Runnable> copies = new ArrayDeque<>();
    private long configurationVersion;
    private int targetNumber = 1;
    private int serverCount;

    private Run(long seed) {
      random = new SplittableRandom(seed);
      time = new VirtualTime(random, END_OF_FAULTS_MILLIS);
      writeConfiguration();
      store.writeOrder("v1");
      for (int i = 0; i < 3; i++) {
        startServer();
      }
      for (int i = 0; i < GATEWAYS; i++) {
        gateways.add(new Gateway());
      }
      time.every(300, 1500, () -> copies.add(store.copy()));
      time.every(2600, 6000, this::restore);
      time.every(1000, 4000, this::writeConfiguration);
      time.every(2000, 6000, () -> store.writeOrder("v" + ++targetNumber));
      time.every(1000, 4000, this::startServer);
      time.every(1500, 4000, this::stopServer);
      time.every(1000, 4000, () -> gateways.get(random.nextInt(GATEWAYS)).writeState());
      time.every(5000, 15_000, () -> gateways.set(random.nextInt(GATEWAYS), new Gateway()));
    }

    private boolean isLost() {
      return time.nowMillis() < END_OF_FAULTS_MILLIS && random.nextDouble() < LOSS;
    }

    private void writeConfiguration() {
      store.writeConfiguration(++configurationVersion);
    }

    /** Restores a copy up to some seconds old; the operator writes again what it wrote. */
    private void restore() {
      while (copies.size() > 3) {
        copies.remove();
      }
      if (copies.isEmpty()) {
        return;
      }
      copies.poll().run();
      copies.clear();
      time.at(random.nextInt(50, 1000), () -> store.writeConfiguration(configurationVersion));
      time.at(random.nextInt(50, 1000), () -> store.writeOrder("v" + targetNumber));
    }

    private void startServer() {
      String id = "s" + serverCount++;
      liveServers.add(id);
      writeServer(id);
    }

    private void writeServer(String id) {
      if (liveServers.contains(id)) {
        store.writeServer(id, false);
        time.at(SERVER_WRITE_MILLIS, () -> writeServer(id));
      }
    }

    private void stopServer() {
      if (liveServers.size() > 2) {
        String id = List.copyOf(liveServers).get(random.nextInt(liveServers.size()));
        liveServers.remove(id);
        store.writeServer(id, true);
        // A registration that a restore brings back expires, like any that is not renewed.
        time.at(random.nextInt(500, 2000), () -> store.removeServer(id));
        time.at(END_OF_FAULTS_MILLIS + 4000 - time.nowMillis(), () -> store.removeServer(id));
      }
    }

    private void execute() {
      time.executeUntil(END_MILLIS);
      for (Gateway gateway : gateways) {
        assertThat(gateway.available).isEqualTo(liveServers);
        assertThat(gateway.configurationVersion).isEqualTo(configurationVersion);
        RolloutOrder order = Objects.requireNonNull(gateway.order);
        assertThat(order.target()).isEqualTo("v" + targetNumber);
        assertThat(store.order().state()).isEqualTo(order.state());
      }
    }

    /** The state machines of a gateway, and calls whose responses arrive late or never. */
    private final class Gateway {
      private final StoreEra era = new StoreEra();
      private final ServerRetention retention = new ServerRetention();
      private final RestoredOrders orders = new RestoredOrders();
      private final ConfigurationState configuration =
          new ConfigurationState(this::clocks, Duration.ofSeconds(4));
      private final Set<String> seenLeaving = new HashSet<>();
      private Set<String> available = Set.of();
      private long configurationVersion;
      private @Nullable RolloutOrder order;

      private Gateway() {
        time.at(0, this::read);
      }

      private ClockReading clocks() {
        return new ClockReading(now(), Instant.EPOCH.plusMillis(time.nowMillis()));
      }

      private Duration now() {
        return Duration.ofMillis(time.nowMillis());
      }

      private void read() {
        if (!gateways.contains(this)) {
          return;
        }
        long responseEra = store.era;
        ServerList servers = store.servers();
        StoredConfiguration stored = store.configuration();
        RolloutOrder storedOrder = store.order();
        boolean isDelivered = !isLost();
        time.at(
            random.nextInt(1, 300),
            () -> {
              if (isDelivered && era.observe(responseEra)) {
                applyConfiguration(stored);
                applyServers(servers);
                applyOrders(storedOrder);
              }
              time.at(random.nextInt(20, 300), this::read);
            });
        era.observe(gateways.get(random.nextInt(GATEWAYS)).era.highest());
      }

      private void applyConfiguration(StoredConfiguration stored) {
        configuration.confirm(stored, clocks());
        long version = configuration.current().orElseThrow().table().version();
        assertThat(version)
            .as("configuration in force")
            .isGreaterThanOrEqualTo(configurationVersion);
        configurationVersion = version;
      }

      private void applyServers(ServerList servers) {
        Set<String> before = available;
        List<BackendServer> merged = retention.apply(servers, now()).servers();
        available =
            merged.stream()
                .filter(server -> !server.isLeaving())
                .map(BackendServer::id)
                .collect(Collectors.toCollection(TreeSet::new));
        assertThat(Sets.intersection(available, seenLeaving)).as("servers seen leaving").isEmpty();
        before.stream()
            .filter(id -> !available.contains(id))
            .forEach(
                id ->
                    assertThat(liveServers)
                        .as("servers lost at " + time.nowMillis())
                        .doesNotContain(id));
        merged.stream()
            .filter(server -> server.isLeaving() && !liveServers.contains(server.id()))
            .forEach(server -> seenLeaving.add(server.id()));
        before.stream().filter(id -> !available.contains(id)).forEach(seenLeaving::add);
      }

      private void applyOrders(RolloutOrder stored) {
        RestoredOrders.Result result = orders.apply(List.of(stored), stored.version().era(), now());
        RolloutOrder current = result.orders().get(0);
        RolloutOrder before = order;
        if (before != null
            && current.hasSameTarget(before)
            && before.version().era() < current.version().era()) {
          assertThat(current.state()).as("state").isGreaterThanOrEqualTo(before.state());
        }
        order = current;
        result.lostStates().forEach(lost -> write(lost.stored(), lost.state()));
      }

      private void writeState() {
        RolloutOrder basis = order;
        if (basis != null && basis.isOpen() && era.highest() == basis.version().era()) {
          write(
              basis,
              basis.state() == RolloutState.REQUESTED
                  ? RolloutState.ACTIVE
                  : RolloutState.COMPLETED);
        }
      }

      private void write(RolloutOrder basis, RolloutState state) {
        time.at(
            random.nextInt(1, 200),
            () -> {
              RolloutOrder written = store.writeState(basis, state);
              long responseEra = store.era;
              if (isLost()) {
                return;
              }
              time.at(
                  random.nextInt(1, 200),
                  () -> {
                    // As in PlatformStoreClient: a response of another era leaves it undecided.
                    if (era.observe(responseEra)
                        && responseEra == basis.version().era()
                        && written.hasSameTarget(basis)
                        && written.state() == state) {
                      orders.recordWrite(written);
                    }
                  });
            });
      }
    }
  }

  /**
   * Guards against a configuration that is reverted, a server that has left and gets requests
   * again, a running server that is lost, and a roll-out whose state is lost.
   */
  @Test
  void nothingKnownIsLostOrRevertedByRestores() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      try {
        new Run(seed).execute();
      } catch (AssertionError | RuntimeException e) {
        throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
      }
    }
  }
}
