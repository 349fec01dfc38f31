package org.wigeonstage.quota;

/** How many gateways share the limits, and how many of them are silent. */
final class Sharing {

  private int gateways = 1;
  private int silent;

  void gateways(int count) {
    gateways = count;
  }

  void peerFellSilent() {
    silent++;
  }

  void peerIsKnown() {
    silent--;
  }

  /** Returns what all gateways are taken to use for each unit that is known. */
  double perKnownUnit() {
    return 1 + silent * ofEachSilentPeer();
  }

  /** Returns what each silent peer is taken to use for each unit that is known. */
  double ofEachSilentPeer() {
    return 1.0 / Math.max(1, gateways - silent);
  }
}
