package org.wigeonstage.gateway;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;

/** The sums of the peers' running requests by server, updated with each changed load. */
final class PeerLoadSums {

  private final Map<String, Integer> runningByServer = new HashMap<>();

  /**
   * Replaces the load of a peer.
   *
   * @param previous the running requests that are included for the peer, by server
   * @param next those to include from now on
   */
  void replace(Map<String, Integer> previous, Map<String, Integer> next) {
    if (previous != next) {
      previous.forEach((server, count) -> add(server, -count));
      next.forEach(this::add);
    }
  }

  /**
   * Applies changes to the load of a peer.
   *
   * @param previous the running requests that are included for the peer, by server
   * @param changed the counts that differ from these, 0 for servers without running requests
   */
  void apply(Map<String, Integer> previous, Map<String, Integer> changed) {
    changed.forEach((server, count) -> add(server, count - previous.getOrDefault(server, 0)));
  }

  private void add(String server, int count) {
    int sum = runningByServer.getOrDefault(server, 0) + count;
    if (sum == 0) {
      runningByServer.remove(server);
    } else {
      runningByServer.put(server, sum);
    }
  }

  /** Returns an unmodifiable view of the sums; servers without running requests are absent. */
  Map<String, Integer> runningByServer() {
    return Collections.unmodifiableMap(runningByServer);
  }
}
