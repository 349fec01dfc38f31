package org.wigeonstage.gateway;

import java.io.Closeable;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.wigeonstage.common.ClockReader;
import org.wigeonstage.common.ClockReading;
import org.wigeonstage.common.ControlThreads;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.fleet.FleetStore;
import org.wigeonstage.fleet.RoutingRevision;
import org.wigeonstage.telemetry.DecisionLog;

/** Reads configuration and backend servers from the store again and again. */
final class StoreFollower implements Closeable {

  /** A quarter of the time in which changes must be in force. */
  private static final Duration INTERVAL = Duration.ofMillis(500);

  private final FleetStore store;
  private final ClockReader clocks;
  private final Beliefs beliefs;
  private final GatewayCore core;
  private final ScheduledExecutorService routingReads = ControlThreads.single("routing-reads");
  private final ScheduledExecutorService serverReads = ControlThreads.single("server-reads");
  private volatile boolean routingReachable = true;
  private volatile boolean serversReachable = true;

  StoreFollower(FleetStore store, ClockReader clocks, Beliefs beliefs, GatewayCore core) {
    this.store = store;
    this.clocks = clocks;
    this.beliefs = beliefs;
    this.core = core;
  }

  void start() {
    routingReads.scheduleWithFixedDelay(
        this::readRouting, 0, INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    serverReads.scheduleWithFixedDelay(
        this::readServers, 0, INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void readRouting() {
    ClockReading askedAt = clocks.read();
    try {
      store.readRouting().ifPresent(routing -> take(routing, askedAt));
      routingReachable = reached("routing", routingReachable, true, "");
    } catch (WigeonstageException e) {
      routingReachable =
          reached("routing", routingReachable, false, String.valueOf(e.getMessage()));
    } catch (RuntimeException e) {
      DecisionLog.write("configuration-unreadable", "error", e.toString());
    }
  }

  private void take(RoutingRevision routing, ClockReading askedAt) {
    if (beliefs.confirm(routing, askedAt)) {
      DecisionLog.write(
          "configuration-changed",
          "revision",
          routing.revision(),
          "version",
          routing.table().version(),
          "routes",
          routing.table().routeCount(),
          "ageMillis",
          clocks.read().since(askedAt).toMillis());
      core.run(() -> core.configure(routing.table()));
    }
  }

  private void readServers() {
    try {
      var list = store.readServers();
      core.run(() -> core.update(list));
      serversReachable = reached("servers", serversReachable, true, "");
    } catch (WigeonstageException e) {
      serversReachable =
          reached("servers", serversReachable, false, String.valueOf(e.getMessage()));
    } catch (RuntimeException e) {
      DecisionLog.write("servers-unreadable", "error", e.toString());
    }
  }

  private static boolean reached(String what, boolean before, boolean now, String error) {
    if (before != now) {
      DecisionLog.write(now ? "store-regained" : "store-lost", "read", what, "error", error);
    }
    return now;
  }

  @Override
  public void close() {
    routingReads.shutdownNow();
    serverReads.shutdownNow();
  }
}
