package org.wigeonstage.settings;

import java.util.List;

/**
 * The settings of an agent. An address consists of an IPv4 address, a colon and a port.
 *
 * @param name the agent's name, unique over all processes
 * @param failureDomain the failure domain of its host
 * @param kind what the backend server is: {@code model} or {@code service}
 * @param entries the address at which the agent listens for entries
 * @param advertised the address that entries connect to, if it differs from {@code entries};
 *     otherwise empty
 * @param operators the address at which the agent listens for operators
 * @param backendServer the backend server's address
 * @param platform the platform's address
 * @param queueCapacity the maximum number of waiting requests
 * @param windowMin the minimum size of the dispatch window, in concurrent requests
 * @param windowMax the maximum size of the dispatch window, in concurrent requests
 * @param reservedShare the share of the dispatch window, from 0 to below 1, that each tier leaves
 *     free for each tier above it
 * @param targetGapMillis the target for the time between two parts of a response, in milliseconds;
 *     95% of these times should not exceed it
 * @param operatorKeyHashes SHA-256 hashes of the operators' keys, in hexadecimal
 * @param drainGraceMillis the maximum time that a leaving agent waits for its requests to finish,
 *     in milliseconds
 * @param telemetry the settings of logs and traces
 */
public record AgentSettings(
    String name,
    String failureDomain,
    String kind,
    String entries,
    String advertised,
    String operators,
    String backendServer,
    String platform,
    int queueCapacity,
    int windowMin,
    int windowMax,
    double reservedShare,
    long targetGapMillis,
    List<String> operatorKeyHashes,
    long drainGraceMillis,
    TelemetrySettings telemetry) {

  /** Copies the list. */
  public AgentSettings {
    operatorKeyHashes = List.copyOf(operatorKeyHashes);
  }
}
