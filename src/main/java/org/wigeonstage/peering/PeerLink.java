package org.wigeonstage.peering;

import java.time.Duration;
import java.util.Comparator;
import org.jspecify.annotations.Nullable;

/**
 * The life of one link, as one of its ends sees it. Not thread-safe.
 *
 * @param <L> the type of the link
 */
final class PeerLink<L> {

  enum State {
    OPEN,
    ESTABLISHED,
    SUPERSEDED
  }

  /**
   * The order in which links are preferred, the preferred one last. The two ends agree on it except
   * for links that the same run has opened: among these, the run that opened them decides.
   */
  static final Comparator<PeerLink<?>> PREFERENCE =
      Comparator.<PeerLink<?>, Boolean>comparing(link -> link.peerClosingReason == null)
          .thenComparingLong(link -> link.peer.incarnation())
          .thenComparing(link -> link.isDialledByLaterRun)
          .thenComparingLong(link -> link.order);

  final L link;
  final GatewayRun peer;
  final boolean isDialled;

  /** Whether the peer applies the same rule, and says so when it supersedes a link. */
  final boolean isRuleShared;

  private final boolean isDialledByLaterRun;
  private long order;
  private State state = State.OPEN;
  private Duration heardAt;
  private Duration supersededAt = Duration.ZERO;
  private @Nullable CloseReason reason;
  private @Nullable CloseReason peerClosingReason;

  PeerLink(
      L link,
      GatewayRun own,
      GatewayRun peer,
      boolean isDialled,
      boolean isRuleShared,
      long order,
      Duration now) {
    this.link = link;
    this.peer = peer;
    this.isDialled = isDialled;
    this.isRuleShared = isRuleShared;
    this.isDialledByLaterRun = isRuleShared && isDialled == own.compareTo(peer) > 0;
    this.order = order;
    this.heardAt = now;
  }

  boolean isEstablished() {
    return state == State.ESTABLISHED;
  }

  boolean isSuperseded() {
    return state == State.SUPERSEDED;
  }

  void establish(long newOrder) {
    state = State.ESTABLISHED;
    order = newOrder;
  }

  /** Makes this the last link on which a peer has sent that does not share the rule. */
  void updateOrder(long newOrder) {
    order = newOrder;
  }

  void markHeard(Duration now) {
    heardAt = now;
  }

  /** Leaves a time out of account in which this gateway could not hear the peer. */
  void excuse(Duration pause) {
    heardAt = heardAt.plus(pause);
  }

  Duration sinceHeard(Duration now) {
    return now.minus(heardAt);
  }

  void markPeerClosing(CloseReason stated) {
    peerClosingReason = stated;
  }

  boolean isPeerClosing() {
    return peerClosingReason != null;
  }

  void supersede(CloseReason cause, Duration now) {
    state = State.SUPERSEDED;
    reason = cause;
    supersededAt = now;
  }

  Duration sinceSuperseded(Duration now) {
    return now.minus(supersededAt);
  }

  /** Returns why the link is closed if its connection ends now. */
  CloseReason closeReason() {
    if (reason != null) {
      return reason;
    }
    return peerClosingReason != null ? peerClosingReason : CloseReason.CONNECTION_ENDED;
  }

  /** Returns why this link must give way to the preferred one, or null if it may stay. */
  @Nullable CloseReason reasonToGiveWayTo(PeerLink<L> preferred) {
    if (peer.incarnation() < preferred.peer.incarnation()) {
      return CloseReason.OLDER_INCARNATION;
    }
    if (peerClosingReason != null) {
      return peerClosingReason;
    }
    if (!isEstablished() || !isRuleShared || !preferred.isRuleShared) {
      return null;
    }
    if (isDialled != preferred.isDialled) {
      return CloseReason.SUPERSEDED;
    }
    return isDialled ? CloseReason.DUPLICATE : null;
  }
}
