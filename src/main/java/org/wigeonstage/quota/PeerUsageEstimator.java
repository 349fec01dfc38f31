package org.wigeonstage.quota;

/**
 * Estimates the usage of unresponsive peers from the known usage, which is that of this gateway and
 * of responsive peers.
 */
final class PeerUsageEstimator {

  private int gateways = 1;
  private int unresponsivePeers;

  void updateGatewayCount(int count) {
    gateways = count;
  }

  void addUnresponsivePeer() {
    unresponsivePeers++;
  }

  void removeUnresponsivePeer() {
    unresponsivePeers--;
  }

  /** Returns the estimated usage of all gateways for each unit of known usage. */
  double chargePerKnownUnit() {
    return 1 + unresponsivePeers * peerChargePerKnownUnit();
  }

  /** Returns the assumed usage of each unresponsive peer for each unit of known usage. */
  double peerChargePerKnownUnit() {
    return 1.0 / Math.max(1, gateways - unresponsivePeers);
  }
}
