package org.wigeonstage.settings;

import java.util.List;

/**
 * The settings of an entry. An address consists of an IPv4 address, a colon and a port.
 *
 * @param name the entry's name, unique over all processes
 * @param failureDomain the failure domain of its host
 * @param callers the address at which the entry listens for callers
 * @param operators the address at which the entry listens for operators
 * @param platform the platform's address
 * @param peers the operators' addresses of other entries, from which this entry fetches the
 *     configuration if it starts while the platform is down
 * @param routing the routing policy
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param liveLinks the maximum number of agents of each pool to which links are kept open at all
 *     times
 * @param operatorKeyHashes SHA-256 hashes of the operators' keys, in hexadecimal
 * @param drainGraceMillis the maximum time that a leaving entry waits for its requests to finish,
 *     in milliseconds
 * @param telemetry the settings of logs and traces
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

  /** Copies the lists. */
  public EntrySettings {
    peers = List.copyOf(peers);
    operatorKeyHashes = List.copyOf(operatorKeyHashes);
  }
}
