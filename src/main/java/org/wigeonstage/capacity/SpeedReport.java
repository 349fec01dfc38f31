package org.wigeonstage.capacity;

/**
 * What one gateway has measured about the speed of a server.
 *
 * @param runId identifies the run of the server
 * @param slownessPercent the times of the server, in percent of those of the median server as the
 *     same gateway sees them; so a gateway that is itself slow does not report all servers as slow
 * @param weightPercent the weight of the samples, in percent of one complete sample
 */
public record SpeedReport(String runId, int slownessPercent, int weightPercent) {}
