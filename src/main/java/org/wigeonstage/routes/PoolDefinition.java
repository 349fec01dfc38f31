package org.wigeonstage.routes;

/**
 * The configuration of a pool of backend servers. They are either model engines, which run a
 * language model, or other services.
 *
 * @param name the pool's name
 * @param healthPath the path at which its servers respond to health checks
 * @param maxConnections the maximum number of connections that one server accepts in total
 * @param engineSlots the number of requests that a model engine runs concurrently; 0 for other
 *     services
 * @param engineTokens the number of tokens that fit into an engine's memory; 0 for other services
 * @param tokensPerEvent the number of tokens in an event of a stream; 0 for other services
 */
public record PoolDefinition(
    String name,
    String healthPath,
    int maxConnections,
    int engineSlots,
    long engineTokens,
    int tokensPerEvent) {

  /**
   * Returns whether the pool's servers are model engines.
   *
   * @return whether they batch requests and cache prompts
   */
  public boolean isModelPool() {
    return engineSlots > 0;
  }
}
