package org.wigeonstage.settings;

import java.time.Duration;
import org.wigeonstage.quota.QuotaTolerance;

/**
 * Settings of a gateway. Addresses are written as IP number, colon and port.
 *
 * @param name the gateway's name, unique over all processes
 * @param failureDomain the failure domain of its host
 * @param callers where to listen for callers
 * @param readiness where to listen for the balancer's readiness checks
 * @param peers where to listen for other gateways
 * @param metrics where to serve metrics
 * @param store the address of the platform's store
 * @param isFirstStart whether the whole system starts for the first time
 * @param revocationMillis how long after its removal a key may still be accepted
 * @param retryRatio attempts after first ones for each request
 * @param retryFixed attempts after first ones beside those, over all gateways
 * @param retryWindowSeconds the window of both
 * @param quotaWindowSeconds the window in which operators measure quotas
 * @param quotaOverage the part of a quota by which its use may exceed it in a window
 * @param quotaSlack units by which its use may exceed it in a window beside that
 * @param graceSeconds how long a leaving process may finish its work
 * @param logOneIn one in so many ordinary requests is logged; failed and slow ones always are
 * @param log {@code json} or {@code text}
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
    double retryRatio,
    int retryFixed,
    int retryWindowSeconds,
    int quotaWindowSeconds,
    double quotaOverage,
    long quotaSlack,
    int graceSeconds,
    int logOneIn,
    String log) {

  /**
   * Returns how long after its removal a key may still be accepted.
   *
   * @return the time
   */
  public Duration revocationDelay() {
    return Duration.ofMillis(revocationMillis);
  }

  /**
   * Returns by how much the use of quotas may exceed them.
   *
   * @return the tolerance
   */
  public QuotaTolerance quotaTolerance() {
    return new QuotaTolerance(Duration.ofSeconds(quotaWindowSeconds), quotaOverage, quotaSlack);
  }

  /**
   * Returns how long a leaving process may finish its work.
   *
   * @return the time
   */
  public Duration gracePeriod() {
    return Duration.ofSeconds(graceSeconds);
  }
}
