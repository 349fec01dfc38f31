package org.wigeonstage.rollout;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.wigeonstage.fleet.BackendServer;

/**
 * Decides which servers of a pool may get the next request, by their versions.
 *
 * <p>Each gateway sends its part: each request that arrives at it earns the target version the
 * current share of a request. So the shares of all gateways add up without any exchange. The
 * requests go to as many servers of the target version as the share of the traffic needs, so that
 * these have the load of the others, and a version that fails only under load does so at once.
 *
 * <p>Not thread-safe.
 */
public final class VersionFilter {

  /** A version that shares the evidence of one server can't be told from a fault of that server. */
  private static final int MIN_EXPOSED_SERVERS = 2;

  /** The requests that may be sent at once after a time without a free slot. */
  private static final double MAX_CREDIT = 3;

  private VersionRule rule = VersionRule.OPEN;
  private List<BackendServer> servers = List.of();
  private Map<String, String> versionsById = new HashMap<>();
  private Set<String> exposedIds = Set.of();
  private boolean hasOthers;
  private double credit;
  private String creditedTarget = "";

  /**
   * Replaces the servers of the pool.
   *
   * @param registered the servers
   */
  public void applyServers(List<BackendServer> registered) {
    servers = List.copyOf(registered);
    versionsById = new HashMap<>();
    registered.forEach(server -> versionsById.put(server.id(), server.version()));
    update();
  }

  /**
   * Replaces the rule.
   *
   * @param newRule the rule
   * @param initialCredit the number of requests that the target version may get before others have
   *     arrived, if this rule is the first one that gives it a share
   */
  public void apply(VersionRule newRule, double initialCredit) {
    if (newRule.share() > 0 && !newRule.target().equals(creditedTarget)) {
      creditedTarget = newRule.target();
      credit = initialCredit;
    }
    if (!newRule.equals(rule)) {
      rule = newRule;
      update();
    }
  }

  private void update() {
    List<BackendServer> targets =
        servers.stream().filter(server -> isTarget(server) && !server.isLeaving()).toList();
    int exposed =
        (int) Math.max(MIN_EXPOSED_SERVERS, Math.ceil(rule.share() * targets.size() - 1e-9));
    exposedIds =
        targets.stream()
            .map(BackendServer::id)
            .sorted(Comparator.comparingInt(VersionFilter::order).thenComparing(id -> id))
            .limit(exposed)
            .collect(Collectors.toCollection(HashSet::new));
    hasOthers =
        servers.stream()
            .anyMatch(server -> !isTarget(server) && !server.isLeaving() && !isExcluded(server));
  }

  /** Returns a number that puts the servers into the same arbitrary order at all gateways. */
  private static int order(String id) {
    return id.hashCode() * 0x9E3779B9;
  }

  private boolean isTarget(BackendServer server) {
    return server.version().equals(rule.target());
  }

  private boolean isExcluded(BackendServer server) {
    return rule.excluded().contains(server.version());
  }

  /**
   * Returns whether all servers may get requests.
   *
   * @return whether there is no restriction
   */
  public boolean isOpen() {
    return rule == VersionRule.OPEN;
  }

  /**
   * Returns whether a server may get the next request.
   *
   * @param server the server
   * @return whether it may
   */
  public boolean allows(BackendServer server) {
    return switch (rule.mode()) {
      case OPEN -> true;
      case TARGET_ONLY -> isTarget(server);
      case NO_TARGET -> !isTarget(server) && !isExcluded(server);
      case SHARE -> isTarget(server) ? mayExpose(server) : !isExcluded(server);
    };
  }

  /** Without servers of other versions, requests to the target version are better than none. */
  private boolean mayExpose(BackendServer server) {
    return !hasOthers || (rule.share() > 0 && credit >= 1 && exposedIds.contains(server.id()));
  }

  /**
   * Returns whether a server may get requests now or later.
   *
   * @param server the server
   * @return whether it may under the current rule
   */
  public boolean mayServe(BackendServer server) {
    return switch (rule.mode()) {
      case OPEN -> true;
      case TARGET_ONLY -> isTarget(server);
      case NO_TARGET -> !isTarget(server) && !isExcluded(server);
      case SHARE -> isTarget(server) ? !hasOthers || rule.share() > 0 : !isExcluded(server);
    };
  }

  /**
   * Returns whether the server should be chosen before others, so that the target version gets its
   * share also if it seems to be slower.
   *
   * @param server the server
   * @return whether it is preferred
   */
  public boolean prefers(BackendServer server) {
    return rule.mode() == VersionRule.Mode.SHARE && isTarget(server) && mayExpose(server);
  }

  /** Records that a request has arrived. */
  public void recordArrival() {
    if (rule.mode() == VersionRule.Mode.SHARE) {
      credit = Math.min(Math.max(MAX_CREDIT, credit), credit + rule.share());
    }
  }

  /**
   * Records that a request, also a repeated or resumed one, was sent to a server.
   *
   * @param server the server
   */
  public void recordStart(BackendServer server) {
    if (hasOthers && rule.mode() == VersionRule.Mode.SHARE && isTarget(server)) {
      credit--;
    }
  }

  /**
   * Returns how many of the running requests are on servers of other versions than the target.
   *
   * @param runningByServer the numbers of running requests by server
   * @return the number
   */
  public int countAtOthers(Map<String, Integer> runningByServer) {
    int count = 0;
    for (Map.Entry<String, Integer> entry : runningByServer.entrySet()) {
      boolean isAtTarget = rule.target().equals(versionsById.get(entry.getKey()));
      count += isAtTarget ? 0 : entry.getValue();
    }
    return count;
  }

  /**
   * Returns the number of registered servers of a version that are not leaving.
   *
   * @param version the version
   * @return the number
   */
  public int countServers(String version) {
    return (int)
        servers.stream()
            .filter(server -> server.version().equals(version) && !server.isLeaving())
            .count();
  }
}
