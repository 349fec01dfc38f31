package org.wigeonstage.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.wigeonstage.common.KeyHash;
import org.wigeonstage.routes.AccountQuota;
import org.wigeonstage.routes.ClientAccount;
import org.wigeonstage.routes.ConnectionLimits;
import org.wigeonstage.routes.PoolDefinition;
import org.wigeonstage.routes.Route;
import org.wigeonstage.routes.RouteKind;
import org.wigeonstage.routes.RoutingTable;
import org.wigeonstage.routes.WeightedPool;

/** Reads the operator's configuration. The store accepts only valid ones. */
final class RoutingDecoder {

  private static final int DEFAULT_HEAD_BYTES = 16 * 1024;
  private static final int DEFAULT_BODY_BYTES = 4 * 1024 * 1024;
  private static final long DEFAULT_HEAD_MILLIS = 3000;
  private static final long DEFAULT_IDLE_MILLIS = 15_000;
  private static final long DEFAULT_TIMEOUT_MILLIS = 30_000;

  private RoutingDecoder() {}

  static RoutingTable decode(JsonNode spec) {
    List<Route> routes = new ArrayList<>();
    spec.path("routes").forEach(route -> routes.add(routeOf(route)));
    List<PoolDefinition> pools = new ArrayList<>();
    spec.path("services").forEach(service -> pools.add(poolOf(service)));
    List<ClientAccount> accounts = new ArrayList<>();
    spec.path("tenants").forEach(tenant -> accounts.add(accountOf(tenant)));
    return new RoutingTable(
        spec.path("version").asLong(), routes, pools, accounts, limitsOf(spec.path("limits")));
  }

  private static Route routeOf(JsonNode route) {
    return new Route(
        route.path("name").asText(),
        route.path("host").asText(),
        route.path("path_prefix").asText(),
        kindOf(route.path("route_kind").asText()),
        route.path("resumable").asBoolean(),
        Duration.ofMillis(route.path("timeout_ms").asLong(DEFAULT_TIMEOUT_MILLIS)),
        Duration.ofMillis(route.path("target_latency_ms").asLong()),
        Duration.ofMillis(route.path("target_gap_ms").asLong()),
        route.path("priority").asInt(),
        Math.max(1, route.path("max_attempts").asInt(1)),
        route.path("auth_exempt").asBoolean(),
        poolsOf(route));
  }

  private static RouteKind kindOf(String word) {
    return switch (word) {
      case "idempotent" -> RouteKind.IDEMPOTENT;
      case "streaming" -> RouteKind.STREAMING;
      default -> RouteKind.NON_IDEMPOTENT;
    };
  }

  /** A route names one service, or several with weights. */
  private static List<WeightedPool> poolsOf(JsonNode route) {
    List<WeightedPool> pools = new ArrayList<>();
    for (JsonNode part : route.path("traffic_split")) {
      int weight = part.path("traffic_weight").asInt();
      if (weight > 0) {
        pools.add(new WeightedPool(part.path("service").asText(), weight));
      }
    }
    return pools.isEmpty() ? List.of(new WeightedPool(route.path("service").asText(), 1)) : pools;
  }

  private static PoolDefinition poolOf(JsonNode service) {
    JsonNode engine = service.path("engine_type");
    return new PoolDefinition(
        service.path("name").asText(),
        service.path("health_path").asText(),
        service.path("max_connections").asInt(),
        engine.path("slot_count").asInt(),
        engine.path("kv_capacity_tokens").asLong(),
        engine.path("stride").asInt());
  }

  private static ClientAccount accountOf(JsonNode tenant) {
    Set<String> hashes = new HashSet<>();
    tenant.path("api_keys").forEach(key -> hashes.add(KeyHash.of(key.asText())));
    AccountQuota quota =
        new AccountQuota(
            tenant.path("rate_per_s").asDouble(),
            tenant.path("burst_size").asDouble(),
            tenant.path("billing_unit").asText().equals("tokens"),
            tenant.path("plain_tokens").asLong());
    return new ClientAccount(
        tenant.path("name").asText(), hashes, tenant.path("priority").asInt(), quota);
  }

  private static ConnectionLimits limitsOf(JsonNode limits) {
    return new ConnectionLimits(
        limits.path("max_header_bytes").asInt(DEFAULT_HEAD_BYTES),
        limits.path("max_body_bytes").asInt(DEFAULT_BODY_BYTES),
        Duration.ofMillis(limits.path("header_timeout_ms").asLong(DEFAULT_HEAD_MILLIS)),
        Duration.ofMillis(limits.path("idle_timeout_ms").asLong(DEFAULT_IDLE_MILLIS)));
  }
}
