package org.wigeonstage.settings;

import java.util.List;

/**
 * Settings of an entry. Addresses are written as IP number, colon and port.
 *
 * @param name the entry's name, unique over all processes
 * @param failureDomain the failure domain of its host
 * @param callers where to listen for callers
 * @param operators where to listen for operators
 * @param platform the platform's address
 * @param peers operators' addresses of other entries, to start from while the platform is down
 * @param routing the routing policy
 * @param maxBodyBytes the largest body of a request
 * @param liveLinks the most agents of a pool that connections are kept to
 * @param operatorKeyHashes SHA-256 hashes of operators' keys, in hexadecimal
 * @param drainGraceMillis how long a leaving entry waits for its open requests
 * @param telemetry logs and traces
 */
public record EntrySettings(
    String name,
    String failureDomain,
    String callers,
    String operators,
    String platform,
    List<String> peers,
    String routing,
    int maxBodyBytes,
    int liveLinks,
    List<String> operatorKeyHashes,
    long drainGraceMillis,
    TelemetrySettings telemetry) {

  /** Makes the lists immutable. */
  public EntrySettings {
    peers = List.copyOf(peers);
    operatorKeyHashes = List.copyOf(operatorKeyHashes);
  }
}
