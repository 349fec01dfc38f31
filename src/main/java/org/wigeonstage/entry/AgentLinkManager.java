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
 * Manages the links to agents. Keeps a link to each agent of a selected subset open at all times,
 * opens links to other agents on demand, and replaces links that have become unresponsive.
 *
 * <p>A heartbeat is a ping that the agent replies to with a pong. Any message from the agent shows
 * that the link is responsive.
 *
 * <p>Thread-safe, except that only the control thread may call {@link #maintain}.
 */
final class AgentLinkManager {

  /**
   * How many heartbeats may go unanswered, including the one that is due, before a link counts as
   * unresponsive.
   */
  private static final int MAX_UNANSWERED_HEARTBEATS = 3;

  /** The time from the start of a connection attempt to the next one if no link has opened. */
  private static final Duration HELLO_TIMEOUT = Duration.ofSeconds(2);

  private static final Duration MIN_HEARTBEAT_INTERVAL = Duration.ofSeconds(1);
  private static final Duration MAX_HEARTBEAT_INTERVAL = Duration.ofSeconds(10);

  /** How much each open link adds to the heartbeat interval, to bound the total rate of bytes. */
  private static final Duration HEARTBEAT_INTERVAL_PER_LINK = Duration.ofMillis(100);

  /** The time from the failure of a connection attempt to the next one. */
  private static final Duration RECONNECT_DELAY = Duration.ofMillis(300);

  /** How long a link to an agent outside of the selected subset stays open after its last use. */
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

  /** The state of the link to one agent. */
  private static final class AgentLink {
    private final Endpoint endpoint;
    private volatile @Nullable Link link;
    private volatile @Nullable Duration connectStartedAt;
    private volatile Duration pingedAt = Duration.ZERO;
    private volatile @Nullable Duration lastUsedAt;
    private volatile boolean alwaysOpen;

    AgentLink(Endpoint endpoint) {
      this.endpoint = endpoint;
    }
  }

  private final MonotonicClock clock;
  private final MetricRegistry metrics;
  private final Map<String, AgentLink> agentLinks = new ConcurrentHashMap<>();
  private long pingSequence;

  AgentLinkManager(MonotonicClock clock, MetricRegistry metrics) {
    this.clock = clock;
    this.metrics = metrics;
  }

  /**
   * Sets the endpoint of an agent, and whether the link to it stays open without demand. A link to
   * another endpoint is closed.
   */
  void configure(String agent, Endpoint endpoint, boolean alwaysOpen) {
    AgentLink agentLink = agentLinks.get(agent);
    if (agentLink == null || !agentLink.endpoint.equals(endpoint)) {
      AgentLink replacement = new AgentLink(endpoint);
      replacement.alwaysOpen = alwaysOpen;
      AgentLink previous = agentLinks.put(agent, replacement);
      closeIfOpen(previous);
    } else {
      agentLink.alwaysOpen = alwaysOpen;
    }
  }

  /** Requests a link to an agent. {@link #maintain} opens it, and closes it when it is idle. */
  void requestLink(String agent) {
    AgentLink agentLink = agentLinks.get(agent);
    if (agentLink != null) {
      agentLink.lastUsedAt = clock.elapsed();
    }
  }

  private boolean isNeeded(AgentLink agentLink) {
    Duration lastUsedAt = agentLink.lastUsedAt;
    return agentLink.alwaysOpen
        || (lastUsedAt != null && clock.elapsed().minus(lastUsedAt).compareTo(IDLE_TIMEOUT) < 0);
  }

  /**
   * Stops keeping links to other agents than these members open at all times. Such a link stays
   * open until it is idle, because requests may still use it.
   */
  void clearAlwaysOpenExcept(Collection<String> members) {
    agentLinks.forEach(
        (agent, agentLink) -> {
          if (!members.contains(agent)) {
            agentLink.alwaysOpen = false;
          }
        });
  }

  private static void closeIfOpen(@Nullable AgentLink agentLink) {
    Link link = agentLink == null ? null : agentLink.link;
    if (link != null) {
      link.close();
    }
  }

  /** Opens missing links, closes idle and unresponsive ones, and sends heartbeats. */
  void maintain(LinkConnector connector, long configVersion) {
    Duration interval = heartbeatInterval(openLinkCount());
    Duration maxTimeWithoutMessage = interval.multipliedBy(MAX_UNANSWERED_HEARTBEATS);
    for (AgentLink agentLink : agentLinks.values()) {
      Link link = agentLink.link;
      if (!isNeeded(agentLink)) {
        closeIfOpen(agentLink);
      } else if (link == null) {
        connectIfDue(connector, agentLink);
      } else if (link.timeSinceLastMessage().compareTo(maxTimeWithoutMessage) > 0) {
        metrics.counter("links.silent").inc();
        link.close();
      } else {
        pingIfDue(agentLink, link, interval, configVersion);
      }
    }
  }

  private void connectIfDue(LinkConnector connector, AgentLink agentLink) {
    Duration now = clock.elapsed();
    Duration connectStartedAt = agentLink.connectStartedAt;
    if (connectStartedAt != null && now.minus(connectStartedAt).compareTo(HELLO_TIMEOUT) < 0) {
      return;
    }
    agentLink.connectStartedAt = now;
    // After a failure, moves the start back so that the next attempt is due after RECONNECT_DELAY.
    connector.connect(
        agentLink.endpoint,
        cause ->
            agentLink.connectStartedAt =
                clock.elapsed().minus(HELLO_TIMEOUT).plus(RECONNECT_DELAY));
  }

  /**
   * Returns the time between two heartbeats on a link. It grows with the number of links, so that
   * the total rate of heartbeat bytes is bounded.
   */
  static Duration heartbeatInterval(int links) {
    Duration interval = HEARTBEAT_INTERVAL_PER_LINK.multipliedBy(links);
    if (interval.compareTo(MIN_HEARTBEAT_INTERVAL) < 0) {
      return MIN_HEARTBEAT_INTERVAL;
    }
    return interval.compareTo(MAX_HEARTBEAT_INTERVAL) > 0 ? MAX_HEARTBEAT_INTERVAL : interval;
  }

  private void pingIfDue(AgentLink agentLink, Link link, Duration interval, long configVersion) {
    Duration now = clock.elapsed();
    if (now.minus(agentLink.pingedAt).compareTo(interval) >= 0) {
      agentLink.pingedAt = now;
      link.send(new Message.Ping(pingSequence++, configVersion));
    }
  }

  /** Records that a link has opened. Closes it and returns false if its agent is unknown. */
  boolean recordOpened(Link link) {
    AgentLink agentLink = agentLinks.get(link.peerHello().name());
    if (agentLink == null) {
      link.close();
      return false;
    }
    Link previous = agentLink.link;
    agentLink.link = link;
    agentLink.connectStartedAt = null;
    if (previous != null) {
      previous.close();
    }
    return true;
  }

  /** Records that a link has closed, and returns whether its agent has no other link. */
  boolean recordClosed(Link link) {
    AgentLink agentLink = agentLinks.get(link.peerHello().name());
    if (agentLink == null) {
      return true;
    }
    if (agentLink.link != link) {
      return false;
    }
    agentLink.link = null;
    return true;
  }

  /** Returns whether a link is the current link of its agent. */
  boolean isCurrent(Link link) {
    AgentLink agentLink = agentLinks.get(link.peerHello().name());
    return agentLink != null && agentLink.link == link;
  }

  void send(String agent, Message message) {
    AgentLink agentLink = agentLinks.get(agent);
    if (agentLink == null) {
      return;
    }
    agentLink.lastUsedAt = clock.elapsed();
    Link link = agentLink.link;
    if (link != null) {
      link.send(message);
    }
  }

  int openLinkCount() {
    return (int) agentLinks.values().stream().filter(agentLink -> agentLink.link != null).count();
  }
}
