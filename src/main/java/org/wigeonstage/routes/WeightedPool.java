package org.wigeonstage.routes;

/**
 * A pool that gets part of a route's requests.
 *
 * @param pool the pool's name
 * @param weight its part, relative to the other pools of the route
 */
public record WeightedPool(String pool, int weight) {}
