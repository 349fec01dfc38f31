package org.wigeonstage.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.fleet.FleetStore;
import org.wigeonstage.fleet.GatewayRegistration;
import org.wigeonstage.fleet.ServerList;
import org.wigeonstage.fleet.StoredConfiguration;

/**
 * Reads the configuration and the registered backend servers and gateways from the platform's
 * store, and registers gateways there.
 */
final class PlatformFleetStore implements FleetStore {

  private static final String CONFIGURATION_KIND = "config";
  private static final String CONFIGURATION_NAME = "main";
  private static final String SERVER_KIND = "servers";
  private static final String GATEWAY_KIND = "gateways";

  private final PlatformStoreClient client;
  private final WatchedObjects configurations;
  private final WatchedObjects servers;
  private volatile @Nullable StoredConfiguration lastConfiguration;

  PlatformFleetStore(PlatformStoreClient client) {
    this.client = client;
    this.configurations = new WatchedObjects(client, CONFIGURATION_KIND);
    this.servers = new WatchedObjects(client, SERVER_KIND);
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

  /** Decodes the object, or returns the last result if its revision has not changed since. */
  private StoredConfiguration decodeConfiguration(JsonNode object) {
    long revision = object.path("metadata").path("revision").asLong();
    StoredConfiguration last = lastConfiguration;
    if (last == null || last.revision() != revision) {
      last = new StoredConfiguration(revision, RoutingDecoder.decode(object.path("spec")));
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
    List<BackendServer> decoded = new ArrayList<>();
    List<JsonNode> objects = servers.objects();
    for (JsonNode object : objects) {
      ServerDecoder.decode(PlatformStoreClient.nameOf(object), object.path("spec"))
          .ifPresent(decoded::add);
    }
    return new ServerList(servers.revision(), decoded, objects.size() - decoded.size());
  }

  @Override
  public List<GatewayRegistration> readGateways() {
    List<GatewayRegistration> gateways = new ArrayList<>();
    for (JsonNode object : client.list(GATEWAY_KIND).objects()) {
      JsonNode address = object.path("spec").path("address");
      if (address.isTextual()) {
        gateways.add(new GatewayRegistration(PlatformStoreClient.nameOf(object), address.asText()));
      }
    }
    return gateways;
  }

  @Override
  public void register(GatewayRegistration registration) {
    ObjectNode object = JsonNodeFactory.instance.objectNode();
    object.putObject("metadata").put("name", registration.name());
    object.putObject("spec").put("address", registration.address());
    client.put(GATEWAY_KIND, registration.name(), object);
  }
}
