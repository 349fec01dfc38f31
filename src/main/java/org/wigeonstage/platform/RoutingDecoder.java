package org.wigeonstage.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.KeyHash;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.routes.AccountQuota;
import org.wigeonstage.routes.ClientAccount;
import org.wigeonstage.routes.ConnectionLimits;
import org.wigeonstage.routes.PoolDefinition;
import org.wigeonstage.routes.Route;
import org.wigeonstage.routes.RouteKind;
import org.wigeonstage.routes.RoutingTable;
import org.wigeonstage.routes.WeightedPool;

/**
 * Decodes the operator's configuration. Checks only whether names can be sent to backend servers:
 * the store accepts only valid configurations.
 */
final class RoutingDecoder {

  private static final int DEFAULT_MAX_HEAD_BYTES = 16 * 1024;
  private static final int DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;
  private static final long DEFAULT_HEAD_TIMEOUT_MILLIS = 3000;
  private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 15_000;
  private static final long DEFAULT_ROUTE_TIMEOUT_MILLIS = 30_000;

  /** The longest time of a configuration: 30 days. */
  private static final long MAX_MILLIS = Duration.ofDays(30).toMillis();

  private RoutingDecoder() {}

  static RoutingTable decode(JsonNode configuration) {
    List<Route> routes = new ArrayList<>();
    configuration.path("routes").forEach(route -> routes.add(decodeRoute(route)));
    List<PoolDefinition> pools = new ArrayList<>();
    configuration.path("services").forEach(service -> pools.add(decodePool(service)));
    List<ClientAccount> accounts = new ArrayList<>();
    configuration.path("tenants").forEach(tenant -> accounts.add(decodeAccount(tenant)));
    return new RoutingTable(
        configuration.path("version").asLong(),
        routes,
        pools,
        accounts,
        decodeLimits(configuration.path("limits")));
  }

  private static Route decodeRoute(JsonNode route) {
    return new Route(
        route.path("name").asText(),
        route.path("host").asText(),
        route.path("path_prefix").asText(),
        decodeKind(route.path("route_kind").asText()),
        route.path("resumable").asBoolean(),
        decodeMillis(route.path("timeout_ms"), DEFAULT_ROUTE_TIMEOUT_MILLIS),
        decodeMillis(route.path("target_latency_ms"), 0),
        decodeMillis(route.path("target_gap_ms"), 0),
        route.path("priority").asInt(),
        Math.max(1, route.path("max_attempts").asInt(1)),
        route.path("auth_exempt").asBoolean(),
        decodePools(route));
  }

  private static RouteKind decodeKind(String kind) {
    return switch (kind) {
      case "idempotent" -> RouteKind.IDEMPOTENT;
      case "streaming" -> RouteKind.STREAMING;
      default -> RouteKind.NON_IDEMPOTENT;
    };
  }

  /** Returns the pools of a route with their weights, or its only pool if it has no weights. */
  private static List<WeightedPool> decodePools(JsonNode route) {
    List<WeightedPool> pools = new ArrayList<>();
    for (JsonNode weighted : route.path("traffic_split")) {
      int weight = weighted.path("traffic_weight").asInt();
      if (weight > 0) {
        pools.add(new WeightedPool(weighted.path("service").asText(), weight));
      }
    }
    return pools.isEmpty() ? List.of(new WeightedPool(route.path("service").asText(), 1)) : pools;
  }

  private static PoolDefinition decodePool(JsonNode service) {
    JsonNode engine = service.path("engine_type");
    return new PoolDefinition(
        service.path("name").asText(),
        service.path("health_path").asText(),
        service.path("max_connections").asInt(),
        engine.path("slot_count").asInt(),
        engine.path("kv_capacity_tokens").asLong(),
        engine.path("stride").asInt());
  }

  private static ClientAccount decodeAccount(JsonNode tenant) {
    Set<String> hashes = new HashSet<>();
    tenant.path("api_keys").forEach(key -> hashes.add(KeyHash.of(key.asText())));
    AccountQuota quota =
        new AccountQuota(
            tenant.path("rate_per_s").asDouble(),
            tenant.path("burst_size").asDouble(),
            tenant.path("billing_unit").asText().equals("tokens"),
            tenant.path("plain_tokens").asLong());
    return new ClientAccount(
        checkAccountName(tenant.path("name").asText()),
        hashes,
        tenant.path("priority").asInt(),
        quota);
  }

  /** Returns the name of an account if backend servers can receive it unchanged. */
  private static String checkAccountName(String name) {
    boolean canBeEncoded = StandardCharsets.UTF_8.newEncoder().canEncode(name);
    boolean hasControlCharacter = name.chars().anyMatch(Character::isISOControl);
    if (!canBeEncoded || hasControlCharacter || !name.equals(name.strip())) {
      throw new WigeonstageException(
          ErrorCode.INVALID_CONFIGURATION,
          "the name of the client account \"%s\" can't be sent in a header field"
              .formatted(name.replaceAll("[^ -~]", "?")));
    }
    return name;
  }

  private static ConnectionLimits decodeLimits(JsonNode limits) {
    return new ConnectionLimits(
        limits.path("max_header_bytes").asInt(DEFAULT_MAX_HEAD_BYTES),
        limits.path("max_body_bytes").asInt(DEFAULT_MAX_BODY_BYTES),
        decodeMillis(limits.path("header_timeout_ms"), DEFAULT_HEAD_TIMEOUT_MILLIS),
        decodeMillis(limits.path("idle_timeout_ms"), DEFAULT_IDLE_TIMEOUT_MILLIS));
  }

  /** Decodes a time, limited to a range in which calculations with it don't overflow. */
  private static Duration decodeMillis(JsonNode millis, long defaultMillis) {
    double value = millis.asDouble(defaultMillis);
    return Duration.ofMillis((long) Math.max(0, Math.min(value, MAX_MILLIS)));
  }
}
