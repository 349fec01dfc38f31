package org.wigeonstage.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.wigeonstage.store.StoreException;

/**
 * Provides the configuration, the backend servers and the gateways that are registered in the
 * store.
 *
 * <p>Methods block. All calls about the configuration must come from one thread, and all calls
 * about backend servers from one thread.
 */
public interface FleetStore {

  /**
   * Returns the highest era of the store that was seen. Responses of a lower era count as failed
   * calls, and pending calls end when it rises.
   *
   * @return the era, which peers may raise, too
   */
  StoreEra era();

  /**
   * Reads the configuration. The result is at least as recent as the call.
   *
   * @return the configuration, or empty if none was written yet
   * @throws StoreException if the store is unreachable or refuses the call
   */
  Optional<StoredConfiguration> readConfiguration();

  /**
   * Waits until the configuration differs from the one that the previous call returned, or until
   * the time has passed.
   *
   * @param maxWait the maximum time to wait
   * @return the current configuration, at least as recent as the call; or empty if none was written
   *     yet
   * @throws StoreException if the store is unreachable or refuses the call
   */
  Optional<StoredConfiguration> awaitConfiguration(Duration maxWait);

  /**
   * Waits until the list of backend servers differs from the one that the previous call returned,
   * or until the time has passed.
   *
   * @param maxWait the maximum time to wait
   * @return the current list, at least as recent as the call
   * @throws StoreException if the store is unreachable or refuses the call
   */
  ServerList awaitServers(Duration maxWait);

  /**
   * Reads the list of backend servers. The result is at least as recent as the call.
   *
   * @return the list
   * @throws StoreException if the store is unreachable or refuses the call
   */
  ServerList readServers();

  /**
   * Reads the registered gateways.
   *
   * @return all gateways
   * @throws StoreException if the store is unreachable or refuses the call
   */
  List<GatewayRegistration> readGateways();

  /**
   * Reads the registered gateways as they were up to some seconds ago, which costs the store less.
   *
   * @return the gateways
   * @throws StoreException if the store is unreachable or refuses the call
   */
  List<GatewayRegistration> readRecentGateways();

  /**
   * Registers a gateway, replacing any registration under the same name.
   *
   * @param registration the registration
   * @throws StoreException if the store is unreachable, refuses the call, or may have lost it
   */
  void register(GatewayRegistration registration);
}
