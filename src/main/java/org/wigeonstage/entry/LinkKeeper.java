package org.wigeonstage.entry;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.handover.Message;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.wire.Link;
import org.wigeonstage.wire.LinkConnector;

/**
 * Keeps one live connection to each agent of a subset, opens others while they are in demand, and
 * replaces connections that have gone silent.
 *
 * <p>Safe for use by several threads; {@link #maintain} belongs to the control thread.
 */
final class LinkKeeper {

  /** How many heartbeats may stay unanswered, with the one that is due. */
  private static final int HEARTBEATS_BEFORE_SILENCE = 3;

  private static final Duration HELLO_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration LEAST_HEARTBEAT_INTERVAL = Duration.ofSeconds(1);
  private static final Duration GREATEST_HEARTBEAT_INTERVAL = Duration.ofSeconds(10);

  /** The time that each open connection adds to the interval, so that all of them together stay. */
  private static final Duration HEARTBEAT_INTERVAL_PER_LINK = Duration.ofMillis(100);

  private static final Duration RECONNECT_DELAY = Duration.ofMillis(300);

  /** How long a connection outside of the live subset is kept after its last use. */
  private static final Duration IDLE_LIMIT = Duration.ofSeconds(60);

  /** What is known of one agent's connection. */
  private static final class Target {
    private final Endpoint endpoint;
    private volatile @Nullable Link link;
    private volatile @Nullable Duration attemptedAt;
    private volatile Duration pingedAt = Duration.ZERO;
    private volatile @Nullable Duration demandedAt;
    private volatile boolean live;

    Target(Endpoint endpoint) {
      this.endpoint = endpoint;
    }
  }

  private final MonotonicClock clock;
  private final MetricRegistry metrics;
  private final Map<String, Target> targets = new ConcurrentHashMap<>();
  private long pingSequence;

  LinkKeeper(MonotonicClock clock, MetricRegistry metrics) {
    this.clock = clock;
    this.metrics = metrics;
  }

  /** Sets where an agent listens, and whether a connection to it is always kept. */
  void want(String agent, Endpoint endpoint, boolean live) {
    Target target = targets.get(agent);
    if (target == null || !target.endpoint.equals(endpoint)) {
      Target replacement = new Target(endpoint);
      replacement.live = live;
      Target previous = targets.put(agent, replacement);
      closeIfOpen(previous);
    } else {
      target.live = live;
    }
  }

  /** Opens a connection to an agent, and keeps it while it is in use. */
  void demand(String agent) {
    Target target = targets.get(agent);
    if (target != null) {
      target.demandedAt = clock.elapsed();
    }
  }

  private boolean isWanted(Target target) {
    Duration demandedAt = target.demandedAt;
    return target.live
        || (demandedAt != null && clock.elapsed().minus(demandedAt).compareTo(IDLE_LIMIT) < 0);
  }

  /**
   * Lets go of the agents that are not members any more. A connection that requests still use is
   * kept until it is idle.
   */
  void retain(Collection<String> members) {
    targets.forEach(
        (agent, target) -> {
          if (!members.contains(agent)) {
            target.live = false;
          }
        });
  }

  private static void closeIfOpen(@Nullable Target target) {
    Link link = target == null ? null : target.link;
    if (link != null) {
      link.close();
    }
  }

  /** Opens what is missing, closes what is silent and sends heartbeats. */
  void maintain(LinkConnector connector, long configVersion) {
    Duration interval = heartbeatInterval(openLinks());
    Duration silenceLimit = interval.multipliedBy(HEARTBEATS_BEFORE_SILENCE);
    for (Target target : targets.values()) {
      Link link = target.link;
      if (!isWanted(target)) {
        closeIfOpen(target);
      } else if (link == null) {
        connectIfDue(connector, target);
      } else if (link.timeSinceLastMessage().compareTo(silenceLimit) > 0) {
        metrics.counter("links.silent").inc();
        link.close();
      } else {
        pingIfDue(target, link, interval, configVersion);
      }
    }
  }

  private void connectIfDue(LinkConnector connector, Target target) {
    Duration now = clock.elapsed();
    Duration attemptedAt = target.attemptedAt;
    if (attemptedAt != null && now.minus(attemptedAt).compareTo(HELLO_TIMEOUT) < 0) {
      return;
    }
    target.attemptedAt = now;
    connector.connect(
        target.endpoint,
        cause -> target.attemptedAt = clock.elapsed().minus(HELLO_TIMEOUT).plus(RECONNECT_DELAY));
  }

  /**
   * Returns the time between two heartbeats on a connection. It grows with the number of
   * connections, so that their bytes stay within a fixed rate.
   */
  static Duration heartbeatInterval(int links) {
    Duration interval = HEARTBEAT_INTERVAL_PER_LINK.multipliedBy(links);
    if (interval.compareTo(LEAST_HEARTBEAT_INTERVAL) < 0) {
      return LEAST_HEARTBEAT_INTERVAL;
    }
    return interval.compareTo(GREATEST_HEARTBEAT_INTERVAL) > 0
        ? GREATEST_HEARTBEAT_INTERVAL
        : interval;
  }

  private void pingIfDue(Target target, Link link, Duration interval, long configVersion) {
    Duration now = clock.elapsed();
    if (now.minus(target.pingedAt).compareTo(interval) >= 0) {
      target.pingedAt = now;
      link.send(new Message.Ping(pingSequence++, configVersion));
    }
  }

  /** Takes a new connection; returns false where its agent is not wanted. */
  boolean opened(Link link) {
    Target target = targets.get(link.peerHello().name());
    if (target == null) {
      link.close();
      return false;
    }
    Link previous = target.link;
    target.link = link;
    target.attemptedAt = null;
    if (previous != null) {
      previous.close();
    }
    return true;
  }

  /** Takes the end of a connection; returns whether the agent has no other one. */
  boolean closed(Link link) {
    Target target = targets.get(link.peerHello().name());
    if (target == null) {
      return true;
    }
    if (target.link != link) {
      return false;
    }
    target.link = null;
    return true;
  }

  /** Tells whether a connection is its agent's current one. */
  boolean isCurrent(Link link) {
    Target target = targets.get(link.peerHello().name());
    return target != null && target.link == link;
  }

  void send(String agent, Message message) {
    Target target = targets.get(agent);
    if (target == null) {
      return;
    }
    target.demandedAt = clock.elapsed();
    Link link = target.link;
    if (link != null) {
      link.send(message);
    }
  }

  int openLinks() {
    return (int) targets.values().stream().filter(target -> target.link != null).count();
  }
}
