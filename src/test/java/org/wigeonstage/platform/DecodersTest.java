package org.wigeonstage.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonstage.common.Json;
import org.wigeonstage.common.KeyHash;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.fleet.BackendServer;
import org.wigeonstage.http.Endpoint;
import org.wigeonstage.routes.Route;
import org.wigeonstage.routes.RouteKind;
import org.wigeonstage.routes.RoutingTable;

class DecodersTest {

  private static final String REGISTRATION =
      """
      {"service": "engines", "address": "10.128.0.9:8080", "zone": "cl-sur-a", "version": "v1",
       "slot_count": 14, "state": "ready", "cold_remaining_ms": 0, "sequence": 4}
      """;

  private static ObjectNode registration() {
    return (ObjectNode) Json.parse(REGISTRATION);
  }

  @Test
  void decodesARegistration() {
    BackendServer server = ServerDecoder.decode("i-1", registration());
    assertThat(server.pool()).isEqualTo("engines");
    assertThat(server.address()).isEqualTo(new Endpoint("10.128.0.9", 8080));
    assertThat(server.slots()).isEqualTo(14);
    assertThat(server.isLeaving()).isFalse();
    assertThat(ServerDecoder.decode("i-1", registration().put("state", "draining")).isLeaving())
        .isTrue();
  }

  private static void assertRejected(String id, JsonNode registration) {
    assertThatThrownBy(() -> ServerDecoder.decode(id, registration))
        .isInstanceOf(WigeonstageException.class);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"service", "address", "zone", "version", "slot_count", "state", "sequence"})
  void rejectsRegistrationsWithAMissingOrMistypedField(String field) {
    ObjectNode missing = registration();
    missing.remove(field);
    assertRejected("i-1", missing);
    ObjectNode mistyped = registration();
    mistyped.putArray(field);
    assertRejected("i-1", mistyped);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "{\"state\": \"resting\"}",
        "{\"address\": \"host:80\"}",
        "{\"address\": \"10.0.0.1:0\"}",
        "{\"address\": \"10.0.0.1:99999\"}",
        "{\"address\": \"10.0.0.999:80\"}",
        "{\"address\": \"0.0.0.0:80\"}",
        "{\"address\": \"255.255.255.255:80\"}",
        "{\"address\": \"224.0.0.1:80\"}",
        "{\"address\": \"010.0.0.1:80\"}",
        "{\"slot_count\": 0}",
        "{\"slot_count\": 2000000000}",
        "{\"slot_count\": 4294967300}",
        "{\"slot_count\": 100000000000000000000000000000}",
        "{\"sequence\": 100000000000000000000000000000}",
        "{\"cold_remaining_ms\": 1e999}",
        "{\"born\": 1.5}",
        "{\"born\": 100000000000000000000000000000}"
      })
  void rejectsRegistrationsWithValuesOutOfRange(String changedField) {
    ObjectNode changed = registration();
    changed.setAll((ObjectNode) Json.parse(changedField));
    assertRejected("i-1", changed);
  }

  @Test
  void rejectsRegistrationsThatAreNoObjects() {
    assertRejected("i-1", Json.parse("\"text\""));
  }

  /** The name is sent in a header field, which a line break would end. */
  @ParameterizedTest
  @ValueSource(strings = {"", "i-1\r\nTenant: other", "i 1", "i-\u00e9"})
  void rejectsNamesThatCannotBeSentInAHeaderField(String name) {
    assertRejected(name, registration());
  }

  @Test
  void decodesAConfiguration() {
    RoutingTable table =
        RoutingDecoder.decode(
            Json.parse(
                """
                {"version": 7, "routes": [
                  {"name": "r1", "host": "a.example", "path_prefix": "/x/",
                   "route_kind": "streaming", "timeout_ms": 15000, "target_latency_ms": 800,
                   "priority": 1, "max_attempts": 2, "auth_exempt": true, "resumable": true,
                   "target_gap_ms": 400, "traffic_split": [
                     {"service": "s1", "traffic_weight": 90},
                     {"service": "s2", "traffic_weight": 10}]},
                  {"name": "r2", "host": "a.example", "path_prefix": "/y/",
                   "route_kind": "non_idempotent", "timeout_ms": 800, "service": "s2"}],
                 "services": [{"name": "s1", "health_path": "/healthz", "max_connections": 620,
                   "engine_type": {"slot_count": 14, "kv_capacity_tokens": 781367, "stride": 5}}],
                 "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
                 "tenants": [{"name": "shop", "api_keys": ["k1", "k2"], "priority": 1,
                   "billing_unit": "tokens", "plain_tokens": 200, "rate_per_s": 100,
                   "burst_size": 50}]}
                """));
    assertThat(table.version()).isEqualTo(7);
    Route stream = table.route("a.example", "/x/1").orElseThrow();
    assertThat(stream.kind()).isEqualTo(RouteKind.STREAMING);
    assertThat(stream.mayRunMoreThanOnce()).isTrue();
    assertThat(stream.allowsAnonymous()).isTrue();
    assertThat(stream.selectPool(0.95)).isEqualTo("s2");
    Route plain = table.route("a.example", "/y/").orElseThrow();
    assertThat(plain.kind()).isEqualTo(RouteKind.NON_IDEMPOTENT);
    assertThat(plain.selectPool(0.5)).isEqualTo("s2");
    assertThat(table.pool("s1").orElseThrow().tokensPerEvent()).isEqualTo(5);
    assertThat(table.account(KeyHash.of("k2")).orElseThrow().quota().costOf(-1)).isEqualTo(200);
    assertThat(table.limits().idleTimeout()).hasSeconds(15);
  }
}
