package org.wigeonstage.peering;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiFunction;

/**
 * Gateways and the connections between them, in virtual time. A connection delivers in order and
 * loses nothing, unless one end closes it before it has read everything, or its path is cut.
 */
final class SimulatedNetwork {

  private static final Duration REPORT_INTERVAL = Duration.ofMillis(50);

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparing(Event::at).thenComparing(Event::number));
  private long nextEvent;
  private Duration now = Duration.ZERO;

  /** The delay from a sender to a receiver. */
  private BiFunction<Gateway, Gateway, Duration> delay = (from, to) -> Duration.ofMillis(2);

  /** The delay of hello messages that take a time of their own, by dialler and receiver. */
  private final Map<List<Gateway>, Duration> helloDelays = new HashMap<>();

  /** Hello messages that don't arrive, by dialler and receiver. */
  private final Set<List<Gateway>> lostHellos = new HashSet<>();

  /** Pairs of sender and receiver between which nothing arrives. */
  private final Set<List<String>> cuts = new HashSet<>();

  /** Runs that can't connect to others. */
  private final Set<GatewayRun> withoutDialling = new HashSet<>();

  private record Event(Duration at, long number, Runnable action) {}

  /** One connection, which both ends refer to. */
  static final class Connection {
    private final Gateway dialler;
    private final Gateway acceptor;
    private final Set<Gateway> openEnds = new HashSet<>();
    private Duration lastArrivalAtDialler = Duration.ZERO;
    private Duration lastArrivalAtAcceptor = Duration.ZERO;

    Connection(Gateway dialler, Gateway acceptor) {
      this.dialler = dialler;
      this.acceptor = acceptor;
      openEnds.addAll(List.of(dialler, acceptor));
    }

    Gateway other(Gateway end) {
      return end == dialler ? acceptor : dialler;
    }

    Gateway dialler() {
      return dialler;
    }
  }

  /** One end of the connections: a run of a gateway that exchanges reports with one peer. */
  abstract class Gateway {
    final GatewayRun run;
    final boolean isRuleShared;
    final List<String> log = new ArrayList<>();

    /** The reports that were sent to this run and could not be read any more. */
    int lostReports;

    int dials;
    boolean isStopped;
    Gateway peer;

    Gateway(GatewayRun run, boolean isRuleShared) {
      this.run = run;
      this.isRuleShared = isRuleShared;
    }

    abstract void opened(Connection connection, Gateway from);

    abstract void received(Connection connection);

    abstract void closing(Connection connection, CloseReason reason);

    abstract void closed(Connection connection);

    abstract void tick();

    abstract Optional<Connection> preferred();

    final void start(Gateway initialPeer) {
      peer = initialPeer;
      repeatTick();
    }

    private void repeatTick() {
      if (!isStopped) {
        tick();
        preferred().ifPresent(connection -> send(connection, this, true, Gateway::received));
        after(REPORT_INTERVAL, this::repeatTick);
      }
    }

    final void connect() {
      dials++;
      if (!withoutDialling.contains(run)) {
        open(new Connection(this, peer));
      }
    }
  }

  /** A gateway that decides by {@link PeerLinks}. */
  final class CurrentGateway extends Gateway implements LinkActions<Connection> {
    private final PeerLinks<Connection> links;

    CurrentGateway(GatewayRun run, boolean startedLater, long seed) {
      super(run, true);
      links = new PeerLinks<>(run, startedLater, this, new SplittableRandom(seed), now);
    }

    @Override
    void opened(Connection connection, Gateway from) {
      links.opened(connection, from.run, connection.dialler() == this, from.isRuleShared, now);
    }

    @Override
    void received(Connection connection) {
      links.received(connection, now);
    }

    @Override
    void closing(Connection connection, CloseReason reason) {
      links.peerClosing(connection, reason, now);
    }

    @Override
    void closed(Connection connection) {
      links.closed(connection, now);
    }

    @Override
    void tick() {
      links.tick(true, now);
    }

    @Override
    Optional<Connection> preferred() {
      return links.preferred();
    }

    @Override
    public void dial() {
      connect();
    }

    @Override
    public void confirm(Connection link) {
      send(link, this, false, Gateway::received);
    }

    @Override
    public void sendClosing(Connection link, CloseReason reason) {
      send(link, this, false, (receiver, connection) -> receiver.closing(connection, reason));
    }

    @Override
    public void close(Connection link) {
      SimulatedNetwork.this.close(link, this);
    }

    @Override
    public void abort(Connection link) {
      SimulatedNetwork.this.close(link, this);
    }

    @Override
    public void closed(CloseReason reason) {
      log.add("closed " + reason.text());
    }

    @Override
    public void connected(GatewayRun peerRun, boolean isDialled, Duration sinceHeard) {
      log.add("connected " + peerRun.incarnation());
    }

    @Override
    public void lost(CloseReason reason, Duration sinceHeard) {
      log.add("lost " + reason.text());
    }

    @Override
    public void refused(GatewayRun peerRun, CloseReason reason, boolean byPeer) {
      log.add((byPeer ? "refused by peer " : "refused ") + reason.text());
    }
  }

  /**
   * A gateway of an earlier build, which sends on its newest link and judges it by what arrives.
   */
  final class EarlierGateway extends Gateway {
    private static final Duration RECONNECT_INTERVAL = Duration.ofMillis(500);

    private Optional<Connection> newest = Optional.empty();
    private Duration heardOnNewestAt = Duration.ZERO;
    private Duration dialledAt = RECONNECT_INTERVAL.multipliedBy(-2);

    EarlierGateway(GatewayRun run) {
      super(run, false);
    }

    @Override
    void opened(Connection connection, Gateway from) {
      newest = Optional.of(connection);
      heardOnNewestAt = now;
      log.add("connected " + from.run.incarnation());
    }

    @Override
    void received(Connection connection) {
      if (newest.filter(connection::equals).isPresent()) {
        heardOnNewestAt = now;
      }
    }

    @Override
    void closing(Connection connection, CloseReason reason) {
      throw new AssertionError("an earlier build does not know this message");
    }

    @Override
    void closed(Connection connection) {
      if (newest.filter(connection::equals).isPresent()) {
        newest = Optional.empty();
        log.add("lost");
      }
    }

    @Override
    void tick() {
      if (newest.isPresent()) {
        if (now.minus(heardOnNewestAt).compareTo(PeerLinks.LINK_TIMEOUT) <= 0) {
          return;
        }
        Connection silent = newest.get();
        newest = Optional.empty();
        close(silent, this);
      }
      if (now.minus(dialledAt).compareTo(RECONNECT_INTERVAL) > 0) {
        dialledAt = now;
        connect();
      }
    }

    @Override
    Optional<Connection> preferred() {
      return newest;
    }
  }

  /** What a message does at its receiver. */
  private interface Delivery {
    void accept(Gateway receiver, Connection connection);
  }

  void setDelay(BiFunction<Gateway, Gateway, Duration> newDelay) {
    delay = newDelay;
  }

  void setHelloDelay(Gateway dialler, Gateway receiver, Duration helloDelay) {
    helloDelays.put(List.of(dialler, receiver), helloDelay);
  }

  /** Loses the hello message of the next connection of a dialler. */
  void loseNextHello(Gateway dialler, Gateway receiver) {
    lostHellos.add(List.of(dialler, receiver));
  }

  void cut(Gateway from, Gateway to) {
    cuts.add(List.of(from.run.name(), to.run.name()));
  }

  void healCuts() {
    cuts.clear();
  }

  /** Lets a run only accept connections. */
  void preventDialling(GatewayRun run) {
    withoutDialling.add(run);
  }

  /** Opens a connection, on which both ends send their hello messages. */
  void open(Connection connection) {
    if (isCut(connection.dialler, connection.acceptor)
        || isCut(connection.acceptor, connection.dialler)
        || connection.acceptor.isStopped) {
      return;
    }
    sendHello(connection, connection.dialler);
    sendHello(connection, connection.acceptor);
  }

  private void sendHello(Connection connection, Gateway from) {
    Gateway to = connection.other(from);
    if (!lostHellos.remove(List.of(connection.dialler, to))) {
      Duration helloDelay =
          helloDelays.getOrDefault(List.of(connection.dialler, to), delay.apply(from, to));
      send(connection, from, helloDelay, false, (receiver, link) -> receiver.opened(link, from));
    }
  }

  private boolean isCut(Gateway from, Gateway to) {
    return cuts.contains(List.of(from.run.name(), to.run.name()));
  }

  /** Stops a run without a sign on its connections, as the loss of its host does. */
  void stopSilently(Gateway gateway) {
    gateway.isStopped = true;
  }

  private void send(Connection connection, Gateway from, boolean isReport, Delivery delivery) {
    send(connection, from, delay.apply(from, connection.other(from)), isReport, delivery);
  }

  private void send(
      Connection connection,
      Gateway from,
      Duration messageDelay,
      boolean isReport,
      Delivery delivery) {
    Gateway to = connection.other(from);
    if (!connection.openEnds.contains(from) || from.isStopped) {
      return;
    }
    Duration arrival = now.plus(messageDelay);
    Duration last =
        to == connection.dialler
            ? connection.lastArrivalAtDialler
            : connection.lastArrivalAtAcceptor;
    Duration inOrder = arrival.compareTo(last) > 0 ? arrival : last;
    if (to == connection.dialler) {
      connection.lastArrivalAtDialler = inOrder;
    } else {
      connection.lastArrivalAtAcceptor = inOrder;
    }
    after(
        inOrder.minus(now),
        () -> {
          if (to.isStopped || isCut(from, to)) {
            return;
          }
          if (connection.openEnds.contains(to)) {
            delivery.accept(to, connection);
          } else if (isReport) {
            to.lostReports++;
          }
        });
  }

  private void close(Connection connection, Gateway end) {
    send(
        connection,
        end,
        false,
        (receiver, link) -> {
          link.openEnds.remove(receiver);
          receiver.closed(link);
        });
    connection.openEnds.remove(end);
  }

  void after(Duration time, Runnable action) {
    events.add(new Event(now.plus(time), nextEvent++, action));
  }

  /** Lets the given time pass. */
  void run(Duration time) {
    Duration end = now.plus(time);
    while (!events.isEmpty() && events.peek().at().compareTo(end) <= 0) {
      Event event = events.remove();
      now = event.at();
      event.action().run();
    }
    now = end;
  }
}
