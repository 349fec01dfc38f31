package org.wigeonstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.wigeonstage.common.ClockReading;
import org.wigeonstage.fleet.ConfigurationReport;
import org.wigeonstage.fleet.KnownConfiguration;
import org.wigeonstage.fleet.StoredConfiguration;

/**
 * Replays restores of the store in virtual time while gateways start, and while the store turns one
 * of them away. Each version of the configuration removes a key.
 */
class RestoredConfigurationModelTest {

  private static final int SEEDS = 3000;
  private static final int GATEWAYS = 3;
  private static final int REVOCATION_MILLIS = 5000;
  private static final Duration MAX_AGE = Duration.ofMillis(4500);
  private static final int END_OF_FAULTS_MILLIS = 30_000;
  private static final int END_MILLIS = 45_000;
  private static final int TICK_MILLIS = 20;

  /** One run of the model. */
  private static final class Run {
    private final SplittableRandom random;
    private final VirtualTime time;
    private final SimulatedStore store = new SimulatedStore();
    private final List<Gateway> gateways = new ArrayList<>();
    private final ArrayDeque<Runnable> copies = new ArrayDeque<>();
    private final Map<Long, Long> acknowledgedAt = new TreeMap<>();
    private boolean isAway;
    private long version;

    private Run(long seed) {
      random = new SplittableRandom(seed);
      time = new VirtualTime(random, END_OF_FAULTS_MILLIS);
      store.era = 1;
      writeConfiguration();
      for (int i = 0; i < GATEWAYS; i++) {
        gateways.add(new Gateway("gateway-" + i, false));
      }
      time.every(400, 800, () -> copies.add(store.copy()));
      time.every(3000, 12_000, this::takeAway);
      time.every(1500, 5000, this::writeConfiguration);
      time.every(2000, 6000, this::turnAway);
      time.every(2000, 5000, this::restart);
    }

    /** Writes a version, which may be in place of one that was lost. */
    private void writeConfiguration() {
      if (!isAway) {
        store.writeConfiguration(++version);
        acknowledgedAt.put(version, time.nowMillis());
      }
    }

    /** Takes the store away for a moment, and restores a copy that is up to five seconds old. */
    private void takeAway() {
      while (copies.size() > 8) {
        copies.remove();
      }
      // A version that no gateway has read before the store goes away is known to nobody.
      if (copies.isEmpty() || isAway || !isKnownByAnother(null)) {
        return;
      }
      isAway = true;
      time.at(
          random.nextInt(50, 900),
          () -> {
            isAway = false;
            copies.poll().run();
            copies.clear();
            long lost = version;
            boolean isLost = store.configuration().table().version() < lost;
            if (isLost) {
              time.at(random.nextInt(50, 4000), () -> writeAgain(lost));
            }
          });
    }

    private void writeAgain(long lost) {
      if (version == lost && !isAway) {
        store.writeConfiguration(lost);
      } else if (version == lost) {
        time.at(50, () -> writeAgain(lost));
      }
    }

    private void turnAway() {
      Gateway gateway = gateways.get(random.nextInt(GATEWAYS));
      boolean isAnotherTurnedAway = gateways.stream().anyMatch(other -> other.isTurnedAway);
      if (!isAnotherTurnedAway && isKnownByAnother(gateway)) {
        gateway.isTurnedAway = true;
        time.at(random.nextInt(500, 9000), () -> gateway.isTurnedAway = false);
      }
    }

    /** Kills a gateway unless it is the only one that can know the newest configuration. */
    private void restart() {
      int index = random.nextInt(GATEWAYS);
      Gateway killed = gateways.get(index);
      if (isKnownByAnother(killed)) {
        gateways.set(index, new Gateway(killed.name, true));
      }
    }

    private boolean isKnownByAnother(@Nullable Gateway one) {
      return gateways.stream()
          .anyMatch(
              other ->
                  other != one
                      && !other.isTurnedAway
                      && !other.configuration.isJoining()
                      && other.linkedAtMillis <= time.nowMillis()
                      && other.configuration.heldVersion() == version);
    }

    private void execute() {
      time.executeUntil(END_MILLIS);
      for (Gateway gateway : gateways) {
        assertThat(gateway.configuration.isFresh()).as("%s serves", gateway.name).isTrue();
        assertThat(gateway.configuration.heldVersion()).isEqualTo(version);
      }
    }

    /** The state of a gateway, its calls to the store and its links, which come up late. */
    private final class Gateway {
      private final String name;
      private final long linkedAtMillis;
      private final ConfigurationState configuration =
          new ConfigurationState(this::clocks, MAX_AGE);
      private final ConfigurationExchange exchange =
          new ConfigurationExchange(configuration, this::clocks, random.split());
      private boolean isTurnedAway;

      private Gateway(String name, boolean isStartedLater) {
        this.name = name;
        this.linkedAtMillis = time.nowMillis() + random.nextInt(20, 2500);
        if (isStartedLater) {
          configuration.startJoin();
        }
        time.at(0, this::read);
        time.at(0, this::tick);
      }

      private ClockReading clocks() {
        return new ClockReading(now(), Instant.EPOCH.plusMillis(time.nowMillis()));
      }

      private Duration now() {
        return Duration.ofMillis(time.nowMillis());
      }

      private boolean isGone() {
        return !gateways.contains(this);
      }

      private void read() {
        if (isGone()) {
          return;
        }
        ClockReading requestedAt = clocks();
        boolean isAnswered = !isTurnedAway && !isAway;
        StoredConfiguration stored = store.configuration();
        time.at(
            random.nextInt(1, 30),
            () -> {
              if (isAnswered) {
                configuration.confirm(stored, requestedAt);
              }
              time.at(random.nextInt(20, isAnswered ? 100 : 400), this::read);
            });
      }

      private boolean isLinkedTo(Gateway other) {
        return other != this && Math.max(linkedAtMillis, other.linkedAtMillis) <= time.nowMillis();
      }

      private void tick() {
        if (isGone()) {
          return;
        }
        List<Gateway> linked = gateways.stream().filter(this::isLinkedTo).toList();
        Set<String> names = linked.stream().map(peer -> peer.name).collect(Collectors.toSet());
        for (Gateway peer : linked) {
          Optional<KnownConfiguration> known = configuration.known();
          time.at(random.nextInt(1, 20), () -> peer.exchange.recordKnown(name, known));
        }
        boolean isEachPeerHeard =
            gateways.stream().allMatch(peer -> peer == this || exchange.hasHeard(peer.name));
        exchange.update(isEachPeerHeard, now());
        exchange.nextRequest(names, now()).ifPresent(this::send);
        checkRemovedKeys();
        time.at(TICK_MILLIS, this::tick);
      }

      private void send(ConfigurationExchange.Request request) {
        gateways.stream()
            .filter(peer -> peer.name.equals(request.peer()))
            .forEach(
                peer ->
                    time.at(
                        random.nextInt(1, 20),
                        () -> {
                          Optional<ConfigurationReport> report =
                              peer.configuration.report(request.heldVersion());
                          time.at(
                              random.nextInt(1, 20),
                              () -> exchange.applyReply(peer.name, request.id(), report));
                        }));
      }

      private void checkRemovedKeys() {
        if (!configuration.isFresh()) {
          return;
        }
        long inForce = configuration.heldVersion();
        acknowledgedAt.forEach(
            (later, atMillis) -> {
              if (later > inForce) {
                assertThat(time.nowMillis() - atMillis)
                    .as("%s serves by %d, %d was acknowledged before", name, inForce, later)
                    .isLessThanOrEqualTo(REVOCATION_MILLIS);
              }
            });
      }
    }
  }

  /**
   * Guards against a key that was removed and works again because the store has lost its removal,
   * at a gateway that has started since or that the store had turned away; and against gateways
   * that refuse requests for good.
   */
  @Test
  void removedKeysStayRemovedAndAllGatewaysServeInTheEnd() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      try {
        new Run(seed).execute();
      } catch (AssertionError | RuntimeException e) {
        throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
      }
    }
  }
}
