package org.wigeonstage.fleet;

import org.wigeonstage.http.Endpoint;

/**
 * A registered backend server.
 *
 * @param id identifies one run of the server; a restarted server has a new ID
 * @param pool the name of its pool
 * @param address its IP address and port
 * @param failureDomain the failure domain of its host
 * @param slots the number of requests that it runs concurrently
 * @param isLeaving whether it is shutting down and gets no new requests
 * @param startedAtMillis its start time in milliseconds since the epoch, or 0 if not reported
 * @param version the version of its software, or empty if unknown
 */
public record BackendServer(
    String id,
    String pool,
    Endpoint address,
    String failureDomain,
    int slots,
    boolean isLeaving,
    long startedAtMillis,
    String version) {

  /**
   * Creates a server whose software version is unknown.
   *
   * @param id identifies one run of the server
   * @param pool the name of its pool
   * @param address its IP address and port
   * @param failureDomain the failure domain of its host
   * @param slots the number of requests that it runs concurrently
   * @param isLeaving whether it is shutting down
   * @param startedAtMillis its start time in milliseconds since the epoch, or 0 if not reported
   */
  public BackendServer(
      String id,
      String pool,
      Endpoint address,
      String failureDomain,
      int slots,
      boolean isLeaving,
      long startedAtMillis) {
    this(id, pool, address, failureDomain, slots, isLeaving, startedAtMillis, "");
  }

  /**
   * Identifies this run of the server; after a restart, it may have the same ID.
   *
   * @return a text that differs for each run
   */
  public String runId() {
    return id + "@" + startedAtMillis;
  }

  /**
   * Returns the same server while it is shutting down.
   *
   * @return a server that gets no new requests
   */
  public BackendServer leaving() {
    return new BackendServer(
        id, pool, address, failureDomain, slots, true, startedAtMillis, version);
  }

  /**
   * Returns whether another registration names the same address.
   *
   * @param other the other registration
   * @return whether the addresses are equal
   */
  public boolean hasSameAddress(BackendServer other) {
    return address.equals(other.address);
  }
}
