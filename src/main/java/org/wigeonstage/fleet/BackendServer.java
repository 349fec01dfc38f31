package org.wigeonstage.fleet;

/**
 * A registered backend server.
 *
 * @param id identifies one run of the server; a restarted server has a new ID
 * @param pool the name of its pool
 * @param address IP address and port, separated by a colon
 * @param failureDomain the failure domain of its host
 * @param slots the number of requests that it runs concurrently
 * @param isLeaving whether it is shutting down and gets no new requests
 * @param startedAtMillis its start time in milliseconds since the epoch, or 0 if not reported
 */
public record BackendServer(
    String id,
    String pool,
    String address,
    String failureDomain,
    int slots,
    boolean isLeaving,
    long startedAtMillis) {}
