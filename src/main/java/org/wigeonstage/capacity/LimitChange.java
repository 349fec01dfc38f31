package org.wigeonstage.capacity;

/**
 * A change of a limit that operators should know: to half of the slots or less, or back to all.
 *
 * @param runId identifies the run of the server
 * @param limit the new limit
 * @param slots the slots of the server
 * @param slownessPercent the times of the server, in percent of those of the median server
 */
public record LimitChange(String runId, int limit, int slots, int slownessPercent) {}
