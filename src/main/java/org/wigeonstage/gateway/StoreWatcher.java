package org.wigeonstage.gateway;

import java.io.Closeable;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.ClockReader;
import org.wigeonstage.common.ClockReading;
import org.wigeonstage.common.ControlExecutors;
import org.wigeonstage.common.RepeatedTask;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.fleet.FleetStore;
import org.wigeonstage.fleet.ServerList;
import org.wigeonstage.fleet.ServerRetention;
import org.wigeonstage.fleet.StoreVersion;
import org.wigeonstage.fleet.StoredConfiguration;
import org.wigeonstage.telemetry.DecisionLog;

/** Watches the configuration and the list of backend servers in the store. */
final class StoreWatcher implements Closeable {

  /** Interval between two calls; limits their rate while changes follow each other quickly. */
  private static final Duration CALL_INTERVAL = Duration.ofMillis(50);

  /** Interval between two calls while the store is unreachable, or its list may lack servers. */
  private static final Duration RETRY_INTERVAL = Duration.ofMillis(400);

  /** Everything is read at this interval, to recover from changes that were never delivered. */
  private static final Duration FULL_READ_INTERVAL = Duration.ofSeconds(10);

  private final FleetStore store;
  private volatile WatchTimes watchTimes;
  private final ClockReader clocks;
  private final ConfigurationState configuration;
  private final GatewayCore core;
  private final StoreRestores restores;
  private @Nullable StoreVersion lastOutdated;
  private final ServerRetention serverRetention = new ServerRetention();
  private final ReadLoop configurationLoop = new ReadLoop("routing", this::readConfiguration);
  private final ReadLoop serverLoop = new ReadLoop("servers", this::readServers);

  StoreWatcher(
      FleetStore store,
      WatchTimes watchTimes,
      ClockReader clocks,
      ConfigurationState configuration,
      GatewayCore core,
      StoreRestores restores) {
    this.store = store;
    this.watchTimes = watchTimes;
    this.clocks = clocks;
    this.configuration = configuration;
    this.core = core;
    this.restores = restores;
  }

  void updateWatchTimes(WatchTimes newWatchTimes) {
    watchTimes = newWatchTimes;
  }

  void start() {
    configurationLoop.start();
    serverLoop.start();
  }

  /** Reads one subject from the store. */
  private interface StoreRead {

    /**
     * Reads the current state, or waits for a change to it.
     *
     * @param mayWait whether the call may wait for a change
     * @return whether the state is complete, so that the next call may wait for a change
     */
    boolean execute(boolean mayWait);
  }

  private boolean readConfiguration(boolean mayWait) {
    ClockReading requestedAt = clocks.read();
    Optional<StoredConfiguration> current =
        mayWait
            ? store.awaitConfiguration(configuration.maxWatchTime(watchTimes.configuration()))
            : store.readConfiguration();
    current.ifPresent(stored -> applyConfiguration(stored, requestedAt));
    return true;
  }

  private void applyConfiguration(StoredConfiguration stored, ClockReading requestedAt) {
    if (configuration.confirm(stored, requestedAt)) {
      DecisionLog.write(
          "configuration-changed",
          "revision",
          stored.version().revision(),
          "version",
          stored.table().version(),
          "routes",
          stored.table().routeCount(),
          "ageMillis",
          clocks.read().elapsedSince(requestedAt).toMillis());
      // A peer may have passed on a later one meanwhile.
      core.withLock(
          () ->
              configuration
                  .current()
                  .map(StoredConfiguration::table)
                  .ifPresent(core::applyConfiguration));
    } else if (configuration.isOutdated(stored) && !stored.version().equals(lastOutdated)) {
      lastOutdated = stored.version();
      DecisionLog.write(
          "configuration-outdated",
          "era",
          stored.version().era(),
          "revision",
          stored.version().revision(),
          "version",
          stored.table().version());
    }
    restores.done(
        StoreRestores.Part.CONFIGURATION,
        stored.version().era(),
        "revision",
        stored.version().revision(),
        "version",
        stored.table().version());
  }

  private boolean readServers(boolean mayWait) {
    Duration maxWait = serverRetention.maxWatchTime(watchTimes.servers(), core.now());
    ServerList listed = mayWait ? store.awaitServers(maxWait) : store.readServers();
    List<String> retainedBefore = serverRetention.retained();
    List<String> unconfirmedBefore = serverRetention.unconfirmed();
    ServerList servers = serverRetention.apply(listed, core.now());
    if (!serverRetention.retained().equals(retainedBefore)) {
      DecisionLog.write(
          "servers-kept",
          "revision",
          listed.version().revision(),
          "notListed",
          serverRetention.retained());
    }
    if (!serverRetention.unconfirmed().equals(unconfirmedBefore)) {
      DecisionLog.write(
          "servers-unconfirmed",
          "era",
          listed.version().era(),
          "revision",
          listed.version().revision(),
          "servers",
          serverRetention.unconfirmed());
    }
    core.withLock(() -> core.applyServers(servers));
    restores.done(
        StoreRestores.Part.SERVERS,
        listed.version().era(),
        "revision",
        listed.version().revision(),
        "servers",
        listed.servers().size());
    return !serverRetention.needsLists();
  }

  @Override
  public void close() {
    configurationLoop.close();
    serverLoop.close();
  }

  /** Reads one subject repeatedly, on a thread of its own. */
  private final class ReadLoop implements Closeable {

    private final String subject;
    private final StoreRead read;
    private final ScheduledExecutorService executor;
    private boolean isReachable = true;
    private boolean mayWait;
    private Duration fullReadAt = Duration.ZERO;
    private long lastEra;

    ReadLoop(String subject, StoreRead read) {
      this.subject = subject;
      this.read = read;
      this.executor = ControlExecutors.newSingleThreadExecutor(subject + "-reads");
    }

    void start() {
      RepeatedTask.start(
          executor, "read of " + subject, Duration.ZERO, RETRY_INTERVAL, this::readOnce);
    }

    /** Makes one call, and returns the delay until the next one. */
    private Duration readOnce() {
      Duration now = core.now();
      boolean isWatch = mayWait && now.minus(fullReadAt).compareTo(FULL_READ_INTERVAL) < 0;
      mayWait = false;
      try {
        mayWait = read.execute(isWatch);
        // The first call in an era reads the complete list, even in place of a watch.
        long era = store.era().highest();
        fullReadAt = isWatch && era == lastEra ? fullReadAt : now;
        lastEra = era;
        updateReachable(true, "");
        return mayWait ? CALL_INTERVAL : RETRY_INTERVAL;
      } catch (WigeonstageException e) {
        if (!isWatch) {
          updateReachable(false, String.valueOf(e.getMessage()));
          return RETRY_INTERVAL;
        }
        DecisionLog.write("watch-lost", "read", subject, "error", String.valueOf(e.getMessage()));
        return CALL_INTERVAL;
      }
    }

    private void updateReachable(boolean isNowReachable, String error) {
      if (isNowReachable != isReachable) {
        isReachable = isNowReachable;
        DecisionLog.write(
            isNowReachable ? "store-regained" : "store-lost", "read", subject, "error", error);
      }
    }

    @Override
    public void close() {
      executor.shutdownNow();
    }
  }
}
