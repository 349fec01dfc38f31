package org.wigeonstage.platform;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.fleet.FleetStore;
import org.wigeonstage.fleet.GatewayRegistration;
import org.wigeonstage.fleet.ServerList;
import org.wigeonstage.fleet.StoreEra;
import org.wigeonstage.fleet.StoreVersion;
import org.wigeonstage.fleet.StoredConfiguration;
import org.wigeonstage.store.StoreException;

/**
 * Reads the configuration and the registered backend servers and gateways from the platform's
 * store, and registers gateways there.
 */
final class PlatformFleetStore implements FleetStore {

  private static final String CONFIGURATION_NAME =
      ObjectKind.CONFIGURATION.onlyObject().orElseThrow();

  private final PlatformStoreClient client;
  private final WatchedObjects configurations;
  private final WatchedObjects servers;
  private final EntryDecoder serverDecoder = new EntryDecoder(ObjectKind.SERVERS.name());
  private final EntryDecoder gatewayDecoder = new EntryDecoder(ObjectKind.GATEWAYS.name());
  private volatile @Nullable StoredConfiguration lastConfiguration;

  PlatformFleetStore(PlatformStoreClient client) {
    this.client = client;
    this.configurations = new WatchedObjects(client, ObjectKind.CONFIGURATION);
    this.servers = new WatchedObjects(client, ObjectKind.SERVERS);
  }

  @Override
  public StoreEra era() {
    return client.era();
  }

  @Override
  public Optional<StoredConfiguration> readConfiguration() {
    configurations.read();
    return configurations.object(CONFIGURATION_NAME).map(this::decodeConfiguration);
  }

  @Override
  public Optional<StoredConfiguration> awaitConfiguration(Duration maxWait) {
    configurations.await(maxWait);
    return configurations.object(CONFIGURATION_NAME).map(this::decodeConfiguration);
  }

  /**
   * Decodes the object, or returns the last result if its version has not changed since.
   *
   * @throws StoreException if the configuration can't be read; the one in force is then not
   *     confirmed
   */
  private StoredConfiguration decodeConfiguration(StoreObject object) {
    StoredConfiguration last = lastConfiguration;
    StoreVersion version = configurations.versionOf(object);
    if (last == null || !last.version().equals(version)) {
      if (!object.spec().isObject()) {
        throw new StoreException(
            ErrorCode.INVALID_CONFIGURATION,
            "the configuration at revision "
                + object.revision()
                + " can't be read: "
                + object.fault(),
            null);
      }
      last = new StoredConfiguration(version, RoutingDecoder.decode(object.spec()));
      lastConfiguration = last;
    }
    return last;
  }

  @Override
  public ServerList readServers() {
    servers.read();
    return serverList();
  }

  @Override
  public ServerList awaitServers(Duration maxWait) {
    servers.await(maxWait);
    return serverList();
  }

  private ServerList serverList() {
    List<StoreObject> objects = servers.objects();
    List<BackendServer> decoded = serverDecoder.decode(objects, ServerDecoder::decode);
    Map<String, Long> revisions = new HashMap<>();
    objects.forEach(object -> revisions.put(object.name(), object.revision()));
    return new ServerList(servers.version(), decoded, objects.size() - decoded.size(), revisions);
  }

  @Override
  public List<GatewayRegistration> readGateways() {
    return decodeGateways(client.list(ObjectKind.GATEWAYS));
  }

  @Override
  public List<GatewayRegistration> readRecentGateways() {
    return decodeGateways(client.listRecent(ObjectKind.GATEWAYS));
  }

  private List<GatewayRegistration> decodeGateways(PlatformStoreClient.Listing listing) {
    return gatewayDecoder.decode(
        listing.objects(),
        (name, spec) ->
            new GatewayRegistration(
                RegistrationFields.checkName(name),
                new RegistrationFields(spec).address("address")));
  }

  @Override
  public void register(GatewayRegistration registration) {
    ObjectNode object = JsonNodeFactory.instance.objectNode();
    object.putObject("metadata").put("name", registration.name());
    object.putObject("spec").put("address", registration.address().toString());
    client.put(ObjectKind.GATEWAYS, registration.name(), object);
  }
}
