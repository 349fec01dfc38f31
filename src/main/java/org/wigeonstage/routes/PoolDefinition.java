package org.wigeonstage.routes;

/**
 * A pool of backend servers.
 *
 * @param name the pool's name
 * @param healthPath where its servers answer health checks
 * @param maxConnections the most connections that one server takes from all callers
 * @param engineSlots the requests that a model engine runs at once; 0 for plain services
 * @param engineTokens the tokens that fit into an engine's memory; 0 for plain services
 * @param tokensPerEvent the tokens that an event of a stream holds; 0 for plain services
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
   * @return whether they batch requests and hold prompts
   */
  public boolean isModelPool() {
    return engineSlots > 0;
  }
}
