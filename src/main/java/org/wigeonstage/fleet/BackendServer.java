package org.wigeonstage.fleet;

/**
 * A backend server as it registered itself.
 *
 * @param id names one start of the server
 * @param pool the pool that it belongs to
 * @param address IP number, colon and port
 * @param failureDomain the failure domain of its host
 * @param slots the requests that it runs at once
 * @param isLeaving whether it takes no new work
 * @param startedAtMillis when it started, in Unix milliseconds; 0 where it does not tell
 */
public record BackendServer(
    String id,
    String pool,
    String address,
    String failureDomain,
    int slots,
    boolean isLeaving,
    long startedAtMillis) {}
