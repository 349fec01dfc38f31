package org.wigeonstage.platform;

import org.wigeonstage.common.MonotonicClock;
import org.wigeonstage.fleet.FleetStore;
import org.wigeonstage.fleet.StoreEra;
import org.wigeonstage.forward.HeaderCodec;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.HttpClient;
import org.wigeonstage.rollout.RestoredRolloutStore;
import org.wigeonstage.rollout.RolloutStore;

/**
 * Provides the platform's implementations of {@link FleetStore}, {@link RolloutStore} and {@link
 * HeaderCodec}.
 */
public final class PlatformAdapter {

  private final FleetStore fleetStore;
  private final RolloutStore rolloutStore;
  private final HeaderCodec headerCodec = new PlatformHeaderCodec();

  /**
   * Creates an adapter.
   *
   * @param client the client for calls to the store
   * @param store the address and port of the store
   */
  public PlatformAdapter(HttpClient client, Endpoint store) {
    StoreEra era = new StoreEra();
    PlatformStoreClient storeClient = new PlatformStoreClient(client, store, era);
    this.fleetStore = new PlatformFleetStore(storeClient);
    this.rolloutStore =
        new RestoredRolloutStore(
            new PlatformRolloutStore(storeClient), era, MonotonicClock.system());
  }

  /**
   * Returns the store of the configuration and of the registered backend servers and gateways.
   *
   * @return the store
   */
  public FleetStore fleetStore() {
    return fleetStore;
  }

  /**
   * Returns the store of the roll-out orders, which makes no calls until it is used.
   *
   * @return the store
   */
  public RolloutStore rolloutStore() {
    return rolloutStore;
  }

  /**
   * Returns the codec for the platform's header fields.
   *
   * @return the codec
   */
  public HeaderCodec headerCodec() {
    return headerCodec;
  }
}
