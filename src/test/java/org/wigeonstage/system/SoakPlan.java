package org.wigeonstage.system;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

/**
 * What happens in a soak, and when. The same seed gives the same plan.
 *
 * @param seed the seed
 * @param gateways the number of gateways
 * @param servers the number of backend servers
 * @param callers the number of callers
 * @param longStreams how many of them begin with a stream that outlasts the grace
 * @param graceSeconds how long gateways may take to leave
 * @param hasFaults whether there is more than planned work
 * @param isOnSlowHosts whether gateways get a part of a core only
 * @param events what happens, in order
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

  private static final int LOAD_MILLIS = 9_000;
  private static final int FIRST_EVENT_MILLIS = 500;
  private static final int SLOW_HOST_GRACE_SECONDS = 8;

  /** What may happen. */
  enum Action {
    /** SIGTERM, SIGKILL after the grace, and a new start. */
    LEAVE,
    /** SIGHUP with changed settings. */
    HANGUP,
    /** A new version of the configuration. */
    CONFIGURE,
    /** A backend server is registered as leaving for a time. */
    DRAIN_SERVER,
    /** SIGKILL and a new start. */
    KILL,
    /** SIGSTOP, and SIGCONT after a time. */
    PAUSE,
    /** The store refuses all calls for a time. */
    STORE_DOWN,
    /** The store closes the connections of watches and forgets its history. */
    STORE_FORGETS,
    /** All connections between callers and a gateway are reset. */
    RESET_CALLERS,
    /** All connections to a backend server are reset. */
    RESET_SERVER,
    /** Open connections to a backend server swallow all bytes. */
    SILENCE_SERVER,
    /** All bytes to and from a backend server come late for a time. */
    DELAY_SERVER
  }

  /**
   * One event.
   *
   * @param at when, in milliseconds of the soak
   * @param action what happens
   * @param target the index of the gateway or of the backend server
   * @param millis how long it lasts, where it lasts
   */
  record Event(long at, Action action, int target, long millis) {}

  /** Draws leaving gateways, hang-ups and changes of the configuration. */
  static SoakPlan planned(long seed) {
    return draw(seed, false, false);
  }

  /** One gateway leaves while callers go on. */
  static SoakPlan leaving(int callers, int longStreams, int graceSeconds) {
    List<Event> events = List.of(new Event(FIRST_EVENT_MILLIS, Action.LEAVE, 0, 0));
    return new SoakPlan(0, 1, 2, callers, longStreams, graceSeconds, false, false, events);
  }

  /** Draws the same and disruptions beside it. */
  static SoakPlan withFaults(long seed) {
    return draw(seed, true, false);
  }

  /** Draws planned work for gateways that get a part of a core only. */
  static SoakPlan onSlowHosts(long seed) {
    return draw(seed, false, true);
  }

  private static SoakPlan draw(long seed, boolean hasFaults, boolean isOnSlowHosts) {
    SplittableRandom random = new SplittableRandom(seed);
    int gateways = random.nextInt(2, 4);
    int servers = random.nextInt(2, 5);
    int callers = random.nextInt(10, 25);
    int longStreams = random.nextInt(4);
    int grace = isOnSlowHosts ? SLOW_HOST_GRACE_SECONDS : random.nextInt(4, 7);
    List<Event> events = new ArrayList<>();
    for (int i = random.nextInt(2, 5); i > 0; i--) {
      Event leave = event(random, Action.LEAVE, gateways);
      events.add(leave);
      if (random.nextBoolean()) {
        long later = leave.at() + random.nextInt(grace * 1000);
        events.add(new Event(later, Action.HANGUP, leave.target(), 0));
      }
    }
    add(events, random, Action.HANGUP, 3, gateways);
    add(events, random, Action.CONFIGURE, 6, 1);
    add(events, random, Action.DRAIN_SERVER, 2, servers);
    if (hasFaults) {
      add(events, random, Action.KILL, 3, gateways);
      add(events, random, Action.PAUSE, 3, gateways);
      add(events, random, Action.STORE_DOWN, 2, 1);
      add(events, random, Action.STORE_FORGETS, 2, 1);
      add(events, random, Action.RESET_CALLERS, 3, gateways);
      add(events, random, Action.RESET_SERVER, 3, servers);
      add(events, random, Action.SILENCE_SERVER, 2, servers);
      add(events, random, Action.DELAY_SERVER, 2, servers);
    }
    events.sort(Comparator.comparingLong(Event::at));
    return new SoakPlan(
        seed,
        gateways,
        servers,
        callers,
        longStreams,
        grace,
        hasFaults,
        isOnSlowHosts,
        List.copyOf(events));
  }

  private static void add(
      List<Event> events, SplittableRandom random, Action action, int atMost, int targets) {
    for (int i = random.nextInt(atMost + 1); i > 0; i--) {
      events.add(event(random, action, targets));
    }
  }

  private static Event event(SplittableRandom random, Action action, int targets) {
    return new Event(
        random.nextInt(FIRST_EVENT_MILLIS, LOAD_MILLIS),
        action,
        random.nextInt(targets),
        random.nextInt(100, 3_000));
  }

  /** Returns what kind of plan it is, in one word. */
  String kind() {
    if (hasFaults) {
      return "faults";
    }
    return isOnSlowHosts ? "slow" : "planned";
  }

  /** Returns the randomness of one caller. */
  SplittableRandom randomOf(int caller) {
    return new SplittableRandom(seed * 1_000_003 + caller);
  }

  @Override
  public String toString() {
    return "seed %d (%s): %d gateways with a grace of %d s, %d servers, %d callers, %d long streams\n%s"
        .formatted(
            seed,
            kind(),
            gateways,
            graceSeconds,
            servers,
            callers,
            longStreams,
            events.stream()
                .map(e -> "  %5d ms %s %d".formatted(e.at(), e.action(), e.target()))
                .collect(Collectors.joining("\n")));
  }
}
