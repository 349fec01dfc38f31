package org.wigeonstage.system;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

/**
 * The load and the events of a soak test. The same seed yields the same plan.
 *
 * @param seed the seed of all random choices
 * @param gateways the number of gateways
 * @param servers the number of backend servers
 * @param callers the number of callers
 * @param longStreams the number of callers that start with a stream longer than the grace period
 * @param graceSeconds the time that gateways have for their shutdown
 * @param hasFaults whether the plan contains faults in addition to planned maintenance
 * @param isOnSlowHosts whether gateways are limited to a fraction of a core
 * @param events the events in order of time
 */
record SoakPlan(
    long seed,
    int gateways,
    int servers,
    int callers,
    int longStreams,
    int graceSeconds,
    boolean hasFaults,
    boolean isOnSlowHosts,
    List<Event> events) {

  private static final int EVENT_WINDOW_END_MILLIS = 9_000;
  private static final int FIRST_EVENT_MILLIS = 500;
  private static final int FIRST_RESTORE_END_MILLIS = 2_500;
  private static final int RESTORE_INTERVAL_MILLIS = 5_000;
  private static final int MAX_COPY_AGE_MILLIS = 2_000;
  private static final int SLOW_HOST_GRACE_SECONDS = 8;

  /** The kinds of events. */
  enum Action {
    /** Sends SIGTERM, and SIGKILL after the grace period, and restarts the gateway. */
    RESTART_GATEWAY,
    /** Changes the settings file and sends SIGHUP. */
    RELOAD_SETTINGS,
    /** Writes a new version of the configuration. */
    CHANGE_CONFIGURATION,
    /** Registers a backend server as draining for a while. */
    DRAIN_SERVER,
    /** Sends SIGKILL and restarts the gateway. */
    KILL_GATEWAY,
    /** Sends SIGSTOP, and SIGCONT after a while. */
    PAUSE_GATEWAY,
    /** Lets the store reject all calls for a while. */
    STORE_OUTAGE,
    /** Closes all watch connections of the store and discards its revision history. */
    RESET_STORE_HISTORY,
    /** Restores the store from a copy that was taken when the event starts. */
    RESTORE_STORE,
    /** Resets all connections between callers and a gateway. */
    RESET_CALLER_CONNECTIONS,
    /** Resets all connections to a backend server. */
    RESET_SERVER_CONNECTIONS,
    /** Discards all traffic on open connections to a backend server. */
    DISCARD_SERVER_TRAFFIC,
    /** Delays all traffic to and from a backend server for a while. */
    DELAY_SERVER_TRAFFIC
  }

  /**
   * An event of the plan.
   *
   * @param atMillis the time since the start of the load
   * @param action the kind of event
   * @param target the index of the affected gateway or backend server
   * @param durationMillis the duration of an action that lasts for a while
   */
  record Event(long atMillis, Action action, int target, long durationMillis) {}

  /**
   * Creates a random plan of gateway restarts, reloads, configuration changes and server drains.
   */
  static SoakPlan plannedMaintenance(long seed) {
    return generate(seed, false, false);
  }

  /** Creates a plan in which the only gateway restarts under load. */
  static SoakPlan singleShutdown(int callers, int longStreams, int graceSeconds) {
    List<Event> events = List.of(new Event(FIRST_EVENT_MILLIS, Action.RESTART_GATEWAY, 0, 0));
    return new SoakPlan(0, 1, 2, callers, longStreams, graceSeconds, false, false, events);
  }

  /** Creates a random plan of planned maintenance and faults. */
  static SoakPlan withFaults(long seed) {
    return generate(seed, true, false);
  }

  /** Creates a random plan of planned maintenance for gateways limited to a fraction of a core. */
  static SoakPlan onSlowHosts(long seed) {
    return generate(seed, false, true);
  }

  /**
   * Creates a random plan of planned maintenance, in which the store is restored every 5 s. Only
   * the first server is drained, because requests are refused while no server is ready.
   */
  static SoakPlan withRestores(long seed) {
    SoakPlan plan = plannedMaintenance(seed);
    SplittableRandom random = new SplittableRandom(seed + 1);
    List<Event> events = new ArrayList<>();
    for (Event event : plan.events()) {
      boolean isDrain = event.action() == Action.DRAIN_SERVER;
      events.add(
          isDrain ? new Event(event.atMillis(), event.action(), 0, event.durationMillis()) : event);
    }
    int first = random.nextInt(FIRST_EVENT_MILLIS, FIRST_RESTORE_END_MILLIS);
    for (int at = first; at < EVENT_WINDOW_END_MILLIS; at += RESTORE_INTERVAL_MILLIS) {
      events.add(new Event(at, Action.RESTORE_STORE, 0, random.nextInt(100, MAX_COPY_AGE_MILLIS)));
    }
    events.sort(Comparator.comparingLong(Event::atMillis));
    return new SoakPlan(
        seed,
        plan.gateways(),
        plan.servers(),
        plan.callers(),
        plan.longStreams(),
        plan.graceSeconds(),
        false,
        false,
        List.copyOf(events));
  }

  private static SoakPlan generate(long seed, boolean hasFaults, boolean isOnSlowHosts) {
    SplittableRandom random = new SplittableRandom(seed);
    int gateways = random.nextInt(2, 4);
    int servers = random.nextInt(2, 5);
    int callers = random.nextInt(10, 25);
    int longStreams = random.nextInt(4);
    int graceSeconds = isOnSlowHosts ? SLOW_HOST_GRACE_SECONDS : random.nextInt(4, 7);
    List<Event> events = new ArrayList<>();
    for (int remaining = random.nextInt(2, 5); remaining > 0; remaining--) {
      Event restart = randomEvent(random, Action.RESTART_GATEWAY, gateways);
      events.add(restart);
      if (random.nextBoolean()) {
        long reloadAtMillis = restart.atMillis() + random.nextInt(graceSeconds * 1000);
        events.add(new Event(reloadAtMillis, Action.RELOAD_SETTINGS, restart.target(), 0));
      }
    }
    addRandomEvents(events, random, Action.RELOAD_SETTINGS, 3, gateways);
    addRandomEvents(events, random, Action.CHANGE_CONFIGURATION, 6, 1);
    addRandomEvents(events, random, Action.DRAIN_SERVER, 2, servers);
    if (hasFaults) {
      addRandomEvents(events, random, Action.KILL_GATEWAY, 3, gateways);
      addRandomEvents(events, random, Action.PAUSE_GATEWAY, 3, gateways);
      addRandomEvents(events, random, Action.STORE_OUTAGE, 2, 1);
      addRandomEvents(events, random, Action.RESET_STORE_HISTORY, 2, 1);
      addRandomEvents(events, random, Action.RESET_CALLER_CONNECTIONS, 3, gateways);
      addRandomEvents(events, random, Action.RESET_SERVER_CONNECTIONS, 3, servers);
      addRandomEvents(events, random, Action.DISCARD_SERVER_TRAFFIC, 2, servers);
      addRandomEvents(events, random, Action.DELAY_SERVER_TRAFFIC, 2, servers);
    }
    events.sort(Comparator.comparingLong(Event::atMillis));
    return new SoakPlan(
        seed,
        gateways,
        servers,
        callers,
        longStreams,
        graceSeconds,
        hasFaults,
        isOnSlowHosts,
        List.copyOf(events));
  }

  private static void addRandomEvents(
      List<Event> events, SplittableRandom random, Action action, int maxCount, int targetCount) {
    for (int remaining = random.nextInt(maxCount + 1); remaining > 0; remaining--) {
      events.add(randomEvent(random, action, targetCount));
    }
  }

  private static Event randomEvent(SplittableRandom random, Action action, int targetCount) {
    return new Event(
        random.nextInt(FIRST_EVENT_MILLIS, EVENT_WINDOW_END_MILLIS),
        action,
        random.nextInt(targetCount),
        random.nextInt(100, 3_000));
  }

  /** Returns the kind of plan, as used in directory names. */
  String kind() {
    if (hasFaults) {
      return "faults";
    }
    if (events.stream().anyMatch(event -> event.action() == Action.RESTORE_STORE)) {
      return "restores";
    }
    return isOnSlowHosts ? "slow" : "planned";
  }

  /** Creates the random number generator of a caller. */
  SplittableRandom callerRandom(int callerIndex) {
    return new SplittableRandom(seed * 1_000_003 + callerIndex);
  }

  @Override
  public String toString() {
    return "seed %d (%s): %d gateways with a grace period of %d s, %d servers, %d callers, %d long streams\n%s"
        .formatted(
            seed,
            kind(),
            gateways,
            graceSeconds,
            servers,
            callers,
            longStreams,
            events.stream()
                .map(
                    event ->
                        "  %5d ms %s %d"
                            .formatted(event.atMillis(), event.action(), event.target()))
                .collect(Collectors.joining("\n")));
  }
}
