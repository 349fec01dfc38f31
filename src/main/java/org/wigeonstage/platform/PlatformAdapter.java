package org.wigeonstage.platform;

import org.wigeonstage.fleet.FleetStore;
import org.wigeonstage.forward.HeaderCodec;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.http.HttpClient;

/** The users' platform behind the product's interfaces. */
public final class PlatformAdapter {

  private final FleetStore fleetStore;
  private final HeaderCodec headerCodec = new PlatformHeaders();

  /**
   * Creates an adapter.
   *
   * @param client makes the calls to the store
   * @param store the store's address
   */
  public PlatformAdapter(HttpClient client, Endpoint store) {
    this.fleetStore = new PlatformFleetStore(new PlatformObjects(client, store));
  }

  /**
   * Returns the source of the configuration and of backend servers.
   *
   * @return the store
   */
  public FleetStore fleetStore() {
    return fleetStore;
  }

  /**
   * Returns the meaning of header fields.
   *
   * @return the dialect
   */
  public HeaderCodec headerCodec() {
    return headerCodec;
  }
}
