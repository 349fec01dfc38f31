package org.wigeonstage.handover;

/**
 * How many requests of one urgency wait at a gateway.
 *
 * @param pool the pool that they wait for
 * @param accountRank the rank of their client accounts
 * @param routeRank the rank of their routes
 * @param count the number of requests
 */
public record WaitingCount(String pool, int accountRank, int routeRank, int count) {}
