package org.wigeonstage.rollout;

/** What responses are counted by. */
record CountsKey(String route, String serverId) {

  static CountsKey of(ResponseCounts counts) {
    return new CountsKey(counts.route(), counts.serverId());
  }
}
