package org.wigeonstage.peering;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * The links to one peer. If both gateways have connected, both keep the same link without further
 * messages: links of the latest run of the peer come first, and among these the one that the later
 * of the two runs has opened. The other link is closed once what was sent on it has arrived.
 *
 * <p>A peer of an earlier build keeps its newest link, and replaces that if nothing arrives on it.
 * This gateway therefore sends on the link on which such a peer has sent last.
 *
 * <p>Not thread-safe.
 *
 * @param <L> the type of the links
 */
public final class PeerLinks<L> {

  /** A link on which nothing arrives for this long is closed; reports are sent every 50 ms. */
  public static final Duration LINK_TIMEOUT = Duration.ofMillis(800);

  /** The maximum number of links of a peer that are not superseded. */
  public static final int MAX_LINKS = 4;

  /** What is longer between two calls of {@link #tick} is a pause of this gateway. */
  static final Duration MAX_TICK_INTERVAL = Duration.ofMillis(100);

  /** The time after which a superseded link is closed if the peer's last message is missing. */
  static final Duration CLOSING_TIMEOUT = Duration.ofMillis(800);

  private final GatewayRun own;
  private final LinkActions<L> actions;
  private final DialSchedule dialSchedule;
  private final List<PeerLink<L>> links = new ArrayList<>();
  private @Nullable PeerLink<L> preferred;
  private @Nullable GatewayRun lastRefusedRun;
  private @Nullable CloseReason lastRefusal;
  private long nextOrder;
  private Duration heardAt;
  private Duration tickedAt;
  private Duration connectedAt = Duration.ZERO;

  /**
   * Creates the state of a peer without links.
   *
   * @param own the run of this gateway
   * @param startedLater whether this gateway has probably started later than the peer
   * @param actions performs the actions
   * @param random determines the delays between attempts to connect
   * @param now the current time
   */
  public PeerLinks(
      GatewayRun own,
      boolean startedLater,
      LinkActions<L> actions,
      RandomGenerator random,
      Duration now) {
    this.own = own;
    this.actions = actions;
    this.dialSchedule = new DialSchedule(random, startedLater, now);
    this.heardAt = now;
    this.tickedAt = now;
  }

  /**
   * Returns the link to send on.
   *
   * @return the link, or empty if there is none
   */
  public Optional<L> preferred() {
    return preferred == null ? Optional.empty() : Optional.of(preferred.link);
  }

  /**
   * Returns the time since something arrived from the peer on any link.
   *
   * @param now the current time
   * @return the time, since this object was created if nothing has arrived
   */
  public Duration sinceHeard(Duration now) {
    return now.minus(heardAt);
  }

  /**
   * Records that the hello message of the peer has arrived on a link.
   *
   * @param link the link
   * @param peer the run that the peer states
   * @param isDialled whether this gateway has opened the link
   * @param isRuleShared whether the peer confirms links and says why it closes them
   * @param now the current time
   */
  public void opened(
      L link, GatewayRun peer, boolean isDialled, boolean isRuleShared, Duration now) {
    PeerLink<L> opened = new PeerLink<>(link, own, peer, isDialled, isRuleShared, nextOrder++, now);
    CloseReason refusal = reasonToRefuse(opened);
    if (refusal != null) {
      refuse(opened, refusal, now);
      return;
    }
    links.add(opened);
    if (isRuleShared) {
      actions.confirm(link);
    } else {
      opened.establish(nextOrder++);
      choose(now);
    }
  }

  private @Nullable CloseReason reasonToRefuse(PeerLink<L> opened) {
    if (preferred != null && opened.peer.incarnation() < preferred.peer.incarnation()) {
      return CloseReason.OLDER_INCARNATION;
    }
    long competing = links.stream().filter(link -> !link.isSuperseded()).count();
    if (competing < MAX_LINKS) {
      return null;
    }
    return opened.isDialled ? CloseReason.DUPLICATE : CloseReason.TOO_MANY_LINKS;
  }

  private void refuse(PeerLink<L> opened, CloseReason refusal, Duration now) {
    if (!refusal.isChoice()) {
      reportRefusal(opened, refusal, false);
    }
    opened.supersede(refusal, now);
    long closing = links.stream().filter(PeerLink::isSuperseded).count();
    if (opened.isRuleShared && closing < MAX_LINKS) {
      links.add(opened);
      actions.sendClosing(opened.link, refusal);
    } else {
      actions.closed(refusal);
      actions.close(opened.link);
    }
  }

  private void reportRefusal(PeerLink<L> link, CloseReason refusal, boolean byPeer) {
    if (refusal != lastRefusal || !link.peer.equals(lastRefusedRun)) {
      lastRefusal = refusal;
      lastRefusedRun = link.peer;
      actions.refused(link.peer, refusal, byPeer);
    }
  }

  /**
   * Records that a message other than hello has arrived.
   *
   * @param link the link on which it has arrived
   * @param now the current time
   */
  public void received(L link, Duration now) {
    PeerLink<L> source = find(link);
    if (source == null) {
      return;
    }
    source.markHeard(now);
    if (source.isSuperseded()) {
      return;
    }
    if (!source.isEstablished()) {
      source.establish(nextOrder++);
      choose(now);
    } else if (!source.isRuleShared && source != preferred) {
      source.updateOrder(nextOrder++);
      choose(now);
    }
    heardAt = now;
  }

  /**
   * Records that the peer sends nothing more on a link.
   *
   * @param link the link
   * @param reason the reason that the peer states
   * @param now the current time
   */
  public void peerClosing(L link, CloseReason reason, Duration now) {
    PeerLink<L> source = find(link);
    if (source == null) {
      return;
    }
    source.markPeerClosing(reason);
    if (source.isSuperseded()) {
      remove(source, source.closeReason(), now);
    } else if (reason.isChoice()) {
      choose(now);
    } else {
      actions.sendClosing(link, reason);
      reportRefusal(source, reason, true);
      dialSchedule.recordRefusal(now);
      remove(source, reason, now);
    }
  }

  /**
   * Records that the connection of a link has ended.
   *
   * @param link the link
   * @param now the current time
   */
  public void closed(L link, Duration now) {
    PeerLink<L> ended = find(link);
    if (ended != null) {
      forget(ended, ended.closeReason(), now);
    }
  }

  /**
   * Closes all links of a peer that has been given up.
   *
   * @param now the current time
   */
  public void abandon(Duration now) {
    List.copyOf(links).forEach(link -> abort(link, CloseReason.SILENT, now));
  }

  /**
   * Closes silent links, and connects to the peer if there is no link.
   *
   * @param canDial whether the address of the peer is known
   * @param now the current time
   */
  public void tick(boolean canDial, Duration now) {
    Duration pause = now.minus(tickedAt).minus(MAX_TICK_INTERVAL);
    tickedAt = now;
    if (!pause.isNegative()) {
      links.forEach(link -> link.excuse(pause));
    }
    for (PeerLink<L> link : List.copyOf(links)) {
      if (link.isSuperseded()) {
        if (link.sinceSuperseded(now).compareTo(CLOSING_TIMEOUT) > 0) {
          abort(link, link.closeReason(), now);
        }
      } else if (link.sinceHeard(now).compareTo(LINK_TIMEOUT) > 0) {
        boolean isNeeded = link == preferred || preferred == null;
        abort(link, isNeeded ? CloseReason.SILENT : CloseReason.SUPERSEDED, now);
      }
    }
    boolean hasLink = links.stream().anyMatch(link -> !link.isSuperseded());
    if (!hasLink && canDial && dialSchedule.isDue(now)) {
      dialSchedule.recordAttempt(now);
      actions.dial();
    }
  }

  /** Lets the best of the established links be preferred, and the others give way to it. */
  private void choose(Duration now) {
    PeerLink<L> before = preferred;
    PeerLink<L> best =
        links.stream()
            .filter(PeerLink::isEstablished)
            .max(PeerLink.PREFERENCE::compare)
            .orElse(null);
    preferred = best;
    if (best == null) {
      return;
    }
    if (before == null || !before.peer.equals(best.peer)) {
      connectedAt = now;
      lastRefusedRun = null;
      lastRefusal = null;
      actions.connected(best.peer, best.isDialled, sinceHeard(now));
    }
    for (PeerLink<L> link : List.copyOf(links)) {
      CloseReason reason =
          link == best || link.isSuperseded() ? null : link.reasonToGiveWayTo(best);
      if (reason != null) {
        supersede(link, reason, now);
      }
    }
  }

  private void supersede(PeerLink<L> link, CloseReason reason, Duration now) {
    link.supersede(reason, now);
    if (link.isRuleShared) {
      actions.sendClosing(link.link, reason);
    }
    if (link.isPeerClosing() || !link.isRuleShared) {
      remove(link, reason, now);
    }
  }

  private void remove(PeerLink<L> link, CloseReason reason, Duration now) {
    forget(link, reason, now);
    actions.close(link.link);
  }

  private void abort(PeerLink<L> link, CloseReason reason, Duration now) {
    forget(link, reason, now);
    actions.abort(link.link);
  }

  private void forget(PeerLink<L> link, CloseReason reason, Duration now) {
    links.remove(link);
    actions.closed(reason);
    if (link != preferred) {
      return;
    }
    choose(now);
    if (preferred == null) {
      actions.lost(reason, sinceHeard(now));
      boolean hasLasted = now.minus(connectedAt).compareTo(LINK_TIMEOUT) > 0;
      if (hasLasted && (!link.isPeerClosing() || reason.isChoice())) {
        dialSchedule.reset(own.compareTo(link.peer) > 0, now);
      }
    }
  }

  private @Nullable PeerLink<L> find(L link) {
    return links.stream()
        .filter(candidate -> Objects.equals(candidate.link, link))
        .findFirst()
        .orElse(null);
  }
}
