package org.wigeonstage.routes;

/**
 * A pool that receives a share of a route's requests.
 *
 * @param pool the pool's name
 * @param weight the weight of its share, relative to the other pools of the route
 */
public record WeightedPool(String pool, int weight) {}
