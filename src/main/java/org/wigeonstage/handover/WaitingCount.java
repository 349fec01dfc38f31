package org.wigeonstage.handover;

/**
 * The number of requests that wait at a gateway for the same pool with the same urgency.
 *
 * @param pool the pool that the requests wait for
 * @param accountRank the rank of their client accounts; lower ranks are more urgent
 * @param routeRank the rank of their routes; lower ranks are more urgent
 * @param count the number of requests
 */
public record WaitingCount(String pool, int accountRank, int routeRank, int count) {}
