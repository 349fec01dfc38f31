package org.wigeonstage.settings;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.wigeonstage.quota.QuotaTolerance;

/**
 * The settings of a gateway. An address consists of an IPv4 address, a colon and a port.
 *
 * @param name the gateway's name, unique over all processes
 * @param failureDomain the failure domain of its host
 * @param callers the address on which to listen for callers
 * @param readiness the address on which to listen for the load balancer's readiness checks
 * @param peers the address on which to listen for other gateways
 * @param metrics the address on which to serve metrics
 * @param store the address of the platform's store
 * @param isFirstStart whether the deployment starts for the first time, so that no quota has been
 *     used before
 * @param revocationMillis the maximum time for which an API key may still be accepted after its
 *     removal, in milliseconds
 * @param configurationMillis the time within which a changed configuration must be in force, in
 *     milliseconds
 * @param leavingMillis the time within which a leaving backend server must get no more requests, in
 *     milliseconds
 * @param retryRatio the maximum number of retries per request in the window; for example, 0.1 for
 *     one retry per ten requests
 * @param retryFixed the retries that all gateways together may make in the window in addition
 * @param retryWindowSeconds the length of the window of {@code retryRatio} and {@code retryFixed},
 *     in seconds
 * @param quotaWindowSeconds the length of the window over which operators measure the usage of
 *     quotas, in seconds
 * @param quotaOverage the share of a quota by which usage may exceed it in a window
 * @param quotaSlack the tokens by which usage may exceed a quota that counts tokens in a window, in
 *     addition to the overage
 * @param graceSeconds the maximum time that a leaving gateway waits for its requests to finish, in
 *     seconds
 * @param logOneIn the number of ordinary requests of which one is logged; failed and slow requests
 *     are always logged
 * @param log the format of the log: {@code json} or {@code text}
 * @param heldPromptParts the IDs of parts of prompts whose requests are not sent to servers
 * @param releasedPromptParts the IDs of parts of prompts that are not held, whatever crashes
 * @param learnedServerLimits whether the speed of backend servers, and how many requests each
 *     handles well, is learned from their responses
 * @param rollout the limits of roll-outs of server versions, or empty if there are none
 * @param memoryMegabytes the memory that this process may use, in megabytes, or empty if only its
 *     heap limits it
 * @param crossingCostMillis the delay that is accepted to send a request to a server in the
 *     gateway's own failure domain instead of another one, in milliseconds
 */
public record GatewaySettings(
    String name,
    String failureDomain,
    String callers,
    String readiness,
    String peers,
    String metrics,
    String store,
    boolean isFirstStart,
    long revocationMillis,
    long configurationMillis,
    long leavingMillis,
    double retryRatio,
    int retryFixed,
    int retryWindowSeconds,
    int quotaWindowSeconds,
    double quotaOverage,
    long quotaSlack,
    int graceSeconds,
    int logOneIn,
    String log,
    Set<String> heldPromptParts,
    Set<String> releasedPromptParts,
    boolean learnedServerLimits,
    Optional<RolloutSettings> rollout,
    OptionalInt memoryMegabytes,
    long crossingCostMillis) {

  /** Copies the collections. */
  public GatewaySettings {
    heldPromptParts = Set.copyOf(heldPromptParts);
    releasedPromptParts = Set.copyOf(releasedPromptParts);
  }

  /**
   * Returns the maximum time for which an API key may still be accepted after its removal.
   *
   * @return the time
   */
  public Duration revocationDelay() {
    return Duration.ofMillis(revocationMillis);
  }

  /**
   * Returns the time within which a changed configuration must be in force.
   *
   * @return the time
   */
  public Duration configurationDelay() {
    return Duration.ofMillis(configurationMillis);
  }

  /**
   * Returns the time within which a leaving backend server must get no more requests.
   *
   * @return the time
   */
  public Duration leavingDelay() {
    return Duration.ofMillis(leavingMillis);
  }

  /**
   * Returns the amount by which usage may exceed a quota.
   *
   * @return the tolerance
   */
  public QuotaTolerance quotaTolerance() {
    return new QuotaTolerance(Duration.ofSeconds(quotaWindowSeconds), quotaOverage, quotaSlack);
  }

  /**
   * Returns the delay that is accepted to stay in the gateway's own failure domain.
   *
   * @return the delay
   */
  public Duration crossingCost() {
    return Duration.ofMillis(crossingCostMillis);
  }

  /**
   * Returns the maximum time that a leaving gateway waits for its requests to finish.
   *
   * @return the time
   */
  public Duration gracePeriod() {
    return Duration.ofSeconds(graceSeconds);
  }
}
