package org.wigeonstage.capacity;

/**
 * The limits of the servers of a pool.
 *
 * @param smallestLimit the smallest limit, or 0 without servers
 * @param medianLimit the median limit, or 0 without servers
 * @param largestLimit the largest limit, or 0 without servers
 * @param slowServers how many servers are considered slow, compared to the others
 */
public record CapacitySummary(
    int smallestLimit, int medianLimit, int largestLimit, int slowServers) {}
