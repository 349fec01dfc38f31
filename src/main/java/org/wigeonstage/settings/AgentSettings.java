package org.wigeonstage.settings;

import java.util.List;

/**
 * Settings of an agent. Addresses are written as IP number, colon and port.
 *
 * @param name the agent's name, unique over all processes
 * @param failureDomain the failure domain of its host
 * @param kind {@code model} or {@code service}
 * @param entries where to listen for entries
 * @param advertised where entries connect to, if it is not {@code entries}; else empty
 * @param operators where to listen for operators
 * @param backendServer the backend server's address
 * @param platform the platform's address
 * @param queueCapacity the most requests that wait
 * @param windowMin the least requests that the backend server runs at once
 * @param windowMax the most requests that the backend server runs at once
 * @param reservedShare the share of the window that each tier leaves to those above it
 * @param targetGapMillis the time between two parts of an answer that 95 in 100 should keep
 * @param operatorKeyHashes SHA-256 hashes of operators' keys, in hexadecimal
 * @param drainGraceMillis how long a leaving agent waits for its running requests
 * @param telemetry logs and traces
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

  /** Makes the list immutable. */
  public AgentSettings {
    operatorKeyHashes = List.copyOf(operatorKeyHashes);
  }
}
