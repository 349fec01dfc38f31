package org.wigeonstage.peering;

import java.time.Duration;

/**
 * What {@link PeerLinks} asks of the gateway.
 *
 * @param <L> the type of the links
 */
public interface LinkActions<L> {

  /** Connects to the peer. */
  void dial();

  /**
   * Tells the peer that its hello message has arrived.
   *
   * @param link the link
   */
  void confirm(L link);

  /**
   * Tells the peer why nothing more will be sent on a link.
   *
   * @param link the link
   * @param reason the reason
   */
  void sendClosing(L link, CloseReason reason);

  /**
   * Closes a link once all messages have been written.
   *
   * @param link the link
   */
  void close(L link);

  /**
   * Closes a link at once.
   *
   * @param link the link
   */
  void abort(L link);

  /**
   * Called when a link of the peer has been closed, or is about to be, by either end.
   *
   * @param reason the reason
   */
  void closed(CloseReason reason);

  /**
   * Called when the peer has a preferred link and had none, or one of an earlier run.
   *
   * @param run the run of the peer
   * @param isDialled whether this gateway has opened the link
   * @param sinceHeard the time since something arrived from the peer before
   */
  void connected(GatewayRun run, boolean isDialled, Duration sinceHeard);

  /**
   * Called when the peer has no preferred link any more.
   *
   * @param reason why the last one was closed
   * @param sinceHeard the time since something arrived from the peer
   */
  void lost(CloseReason reason, Duration sinceHeard);

  /**
   * Called when a link is refused, once until the peer connects or the reason changes.
   *
   * @param run the run that the peer states
   * @param reason the reason
   * @param byPeer whether the peer refuses the link, and not this gateway
   */
  void refused(GatewayRun run, CloseReason reason, boolean byPeer);
}
