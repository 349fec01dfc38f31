package org.wigeonstage.platform;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.wigeonstage.common.JsonSelection;

/**
 * A kind of objects in the store, and what is kept of each of them. Other writers may add objects
 * of any content.
 *
 * @param name the name of the kind
 * @param onlyObject the name of the only object whose content is kept, or empty if that of all is
 * @param spec the part of the content that is kept
 * @param status the part of what the system has written about the object that is kept, or empty if
 *     nothing is
 */
record ObjectKind(
    String name, Optional<String> onlyObject, JsonSelection spec, Optional<JsonSelection> status) {

  private static final JsonSelection TEXT =
      JsonSelection.scalar(RegistrationFields.MAX_TEXT_LENGTH);

  /** The operators' configuration. The store accepts only valid ones, up to its size limit. */
  static final ObjectKind CONFIGURATION = configuration();

  /** The registrations of backend servers. */
  static final ObjectKind SERVERS =
      registrations(
          "servers",
          "service",
          "address",
          "zone",
          "version",
          "slot_count",
          "state",
          "cold_remaining_ms",
          "sequence",
          "born");

  /** The registrations of gateways. */
  static final ObjectKind GATEWAYS = registrations("gateways", "address");

  /** The roll-out orders, and their states. */
  static final ObjectKind ROLLOUTS =
      new ObjectKind(
          "rollouts",
          Optional.empty(),
          JsonSelection.fields(TEXT, "service", "target", "duration_s"),
          Optional.of(JsonSelection.fields(TEXT, "target", "state")));

  private static ObjectKind registrations(String kind, String... fields) {
    return new ObjectKind(
        kind, Optional.empty(), JsonSelection.fields(TEXT, fields), Optional.empty());
  }

  private static ObjectKind configuration() {
    JsonSelection any = JsonSelection.scalar(Integer.MAX_VALUE);
    JsonSelection engine = JsonSelection.fields(any, "slot_count", "kv_capacity_tokens", "stride");
    JsonSelection split =
        JsonSelection.items(JsonSelection.fields(any, "service", "traffic_weight"));
    JsonSelection route =
        withFields(
            Map.of("traffic_split", split),
            any,
            "name",
            "host",
            "path_prefix",
            "route_kind",
            "resumable",
            "timeout_ms",
            "target_latency_ms",
            "target_gap_ms",
            "priority",
            "max_attempts",
            "auth_exempt",
            "service");
    JsonSelection service =
        withFields(Map.of("engine_type", engine), any, "name", "health_path", "max_connections");
    JsonSelection tenant =
        withFields(
            Map.of("api_keys", JsonSelection.items(any)),
            any,
            "name",
            "priority",
            "rate_per_s",
            "burst_size",
            "billing_unit",
            "plain_tokens");
    JsonSelection limits =
        JsonSelection.fields(
            any, "max_header_bytes", "max_body_bytes", "header_timeout_ms", "idle_timeout_ms");
    JsonSelection spec =
        JsonSelection.fields(
            Map.of(
                "version",
                any,
                "routes",
                JsonSelection.items(route),
                "services",
                JsonSelection.items(service),
                "tenants",
                JsonSelection.items(tenant),
                "limits",
                limits));
    return new ObjectKind("config", Optional.of("main"), spec, Optional.empty());
  }

  private static JsonSelection withFields(
      Map<String, JsonSelection> nested, JsonSelection scalar, String... scalars) {
    Map<String, JsonSelection> fields = new HashMap<>(nested);
    for (String field : scalars) {
      fields.put(field, scalar);
    }
    return JsonSelection.fields(fields);
  }

  /** Returns whether the content of an object is kept. */
  boolean keeps(String objectName) {
    return onlyObject.isEmpty() || onlyObject.get().equals(objectName);
  }
}
