package org.wigeonstage.gateway;

import java.time.Duration;
import org.wigeonstage.handover.Message;
import org.wigeonstage.peering.CloseReason;
import org.wigeonstage.peering.GatewayRun;
import org.wigeonstage.peering.LinkActions;
import org.wigeonstage.telemetry.DecisionLog;
import org.wigeonstage.wire.Link;

/** Performs what is decided about the links to one peer, and logs the changes of its state. */
final class PeerLinkActions implements LinkActions<Link> {

  private final String peerName;
  private final PeerLinkMetrics metrics;
  private final Runnable dialer;

  PeerLinkActions(String peerName, PeerLinkMetrics metrics, Runnable dialer) {
    this.peerName = peerName;
    this.metrics = metrics;
    this.dialer = dialer;
  }

  @Override
  public void dial() {
    dialer.run();
  }

  @Override
  public void confirm(Link link) {
    link.send(new Message.LinkConfirmed());
  }

  @Override
  public void sendClosing(Link link, CloseReason reason) {
    link.send(new Message.LinkClosing(reason.text()));
  }

  @Override
  public void close(Link link) {
    link.closeAfterWrites();
  }

  @Override
  public void abort(Link link) {
    link.close();
  }

  @Override
  public void closed(CloseReason reason) {
    metrics.recordClosed(reason);
  }

  @Override
  public void connected(GatewayRun run, boolean isDialled, Duration sinceHeard) {
    DecisionLog.write(
        "peer-connected",
        "peer",
        peerName,
        "incarnation",
        run.incarnation(),
        "dialled",
        isDialled,
        "silentMillis",
        sinceHeard.toMillis());
  }

  @Override
  public void lost(CloseReason reason, Duration sinceHeard) {
    DecisionLog.write(
        "peer-lost",
        "peer",
        peerName,
        "reason",
        reason.text(),
        "silentMillis",
        sinceHeard.toMillis());
  }

  @Override
  public void refused(GatewayRun run, CloseReason reason, boolean byPeer) {
    DecisionLog.write(
        "link-refused",
        "peer",
        peerName,
        "incarnation",
        run.incarnation(),
        "reason",
        reason.text(),
        "byPeer",
        byPeer);
  }
}
