package org.wigeonstage.gateway;

import java.io.Closeable;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.wigeonstage.common.ClockReader;
import org.wigeonstage.common.ClockReading;
import org.wigeonstage.common.ControlExecutors;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.fleet.FleetStore;
import org.wigeonstage.fleet.RoutingRevision;
import org.wigeonstage.fleet.ServerList;
import org.wigeonstage.fleet.ServerRetention;
import org.wigeonstage.telemetry.DecisionLog;

/** Follows configuration and backend servers in the store. */
final class StoreWatcher implements Closeable {

  /**
   * How long the store may hold a call until something changes. A lost call is noticed 600 ms after
   * that, which is within the two seconds in which changes must be in force.
   */
  private static final Duration PATIENCE = Duration.ofMillis(1200);

  /** Between two calls; bounds their rate while changes come in quick succession. */
  private static final Duration PAUSE = Duration.ofMillis(50);

  /** Between two calls while the store can't be reached, or may lack servers that are running. */
  private static final Duration RETRY_PAUSE = Duration.ofMillis(400);

  /** All is read so often, so that a change that was never delivered is made up for. */
  private static final Duration FULL_READ_INTERVAL = Duration.ofSeconds(10);

  private final FleetStore store;
  private final ClockReader clocks;
  private final ConfigurationState beliefs;
  private final GatewayCore core;
  private final ServerRetention retention = new ServerRetention();
  private final Loop routing = new Loop("routing", this::followRouting);
  private final Loop servers = new Loop("servers", this::followServers);

  StoreWatcher(FleetStore store, ClockReader clocks, ConfigurationState beliefs, GatewayCore core) {
    this.store = store;
    this.clocks = clocks;
    this.beliefs = beliefs;
    this.core = core;
  }

  void start() {
    routing.start();
    servers.start();
  }

  /** One call to the store. */
  private interface StoreCall {

    /**
     * Reads all, or waits for changes.
     *
     * @param mayWait whether only changes are of interest
     * @return whether what was read is settled, so that the next call may wait
     */
    boolean make(boolean mayWait);
  }

  private boolean followRouting(boolean mayWait) {
    ClockReading askedAt = clocks.read();
    Optional<RoutingRevision> current =
        mayWait ? store.awaitRouting(beliefs.patience(PATIENCE)) : store.readRouting();
    current.ifPresent(revision -> take(revision, askedAt));
    return true;
  }

  private void take(RoutingRevision revision, ClockReading askedAt) {
    if (beliefs.confirm(revision, askedAt)) {
      DecisionLog.write(
          "configuration-changed",
          "revision",
          revision.revision(),
          "version",
          revision.table().version(),
          "routes",
          revision.table().routeCount(),
          "ageMillis",
          clocks.read().elapsedSince(askedAt).toMillis());
      core.run(() -> core.configure(revision.table()));
    }
  }

  private boolean followServers(boolean mayWait) {
    ServerList fresh = mayWait ? store.awaitServers(PATIENCE) : store.readServers();
    List<String> before = retention.retained();
    ServerList list = retention.apply(fresh, core.now());
    if (!retention.retained().equals(before)) {
      DecisionLog.write("servers-kept", "revision", fresh.revision(), "notListed", retention.retained());
    }
    core.run(() -> core.update(list));
    return retention.retained().isEmpty();
  }

  @Override
  public void close() {
    routing.close();
    servers.close();
  }

  /** Makes calls about one subject, one after the other, on a thread of its own. */
  private final class Loop implements Closeable {

    private final String subject;
    private final StoreCall call;
    private final ScheduledExecutorService executor;
    private boolean isReachable = true;
    private boolean mayWait;
    private Duration fullReadAt = Duration.ZERO;

    Loop(String subject, StoreCall call) {
      this.subject = subject;
      this.call = call;
      this.executor = ControlExecutors.newSingleThreadExecutor(subject + "-reads");
    }

    void start() {
      executor.execute(this::run);
    }

    private void run() {
      Duration pause = step();
      if (!executor.isShutdown()) {
        executor.schedule(this::run, pause.toMillis(), TimeUnit.MILLISECONDS);
      }
    }

    private Duration step() {
      Duration now = core.now();
      boolean waits = mayWait && now.minus(fullReadAt).compareTo(FULL_READ_INTERVAL) < 0;
      try {
        mayWait = call.make(waits);
        fullReadAt = waits ? fullReadAt : now;
        reached(true, "");
        return mayWait ? PAUSE : RETRY_PAUSE;
      } catch (WigeonstageException e) {
        mayWait = false;
        if (!waits) {
          reached(false, String.valueOf(e.getMessage()));
          return RETRY_PAUSE;
        }
        DecisionLog.write("watch-lost", "read", subject, "error", String.valueOf(e.getMessage()));
        return PAUSE;
      } catch (RuntimeException e) {
        mayWait = false;
        DecisionLog.write("store-unreadable", "read", subject, "error", e.toString());
        return RETRY_PAUSE;
      }
    }

    private void reached(boolean isReached, String error) {
      if (isReached != isReachable) {
        isReachable = isReached;
        DecisionLog.write(
            isReached ? "store-regained" : "store-lost", "read", subject, "error", error);
      }
    }

    @Override
    public void close() {
      executor.shutdownNow();
    }
  }
}
