package org.wigeonstage.quota;

/**
 * Estimates the usage of the peers for which the tolerance bucket is charged, because they are
 * unresponsive. The estimate is made from the known usage, which is that of this gateway and of
 * responsive peers.
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

  /** Returns the units that all gateways are estimated to use for each unit of known usage. */
  double chargePerKnownUnit() {
    return 1 + unresponsivePeers * peerChargePerKnownUnit();
  }

  /**
   * Returns the units that each unresponsive peer is estimated to use for each unit of known usage:
   * as many as the average responsive gateway.
   */
  double peerChargePerKnownUnit() {
    return 1.0 / Math.max(1, gateways - unresponsivePeers);
  }
}
