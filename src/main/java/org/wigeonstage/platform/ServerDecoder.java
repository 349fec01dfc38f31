package org.wigeonstage.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import org.wigeonstage.fleet.BackendServer;

/**
 * Decodes the registration of a backend server. Other writers may add objects of this kind that are
 * not valid registrations.
 */
final class ServerDecoder {

  private static final String ADDRESS = "[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}";
  private static final String LEAVING_STATE = "draining";
  private static final List<String> STATES = List.of("ready", LEAVING_STATE);

  private ServerDecoder() {}

  /** Returns the decoded registration, or empty if a field is missing, mistyped or invalid. */
  static Optional<BackendServer> decode(String id, JsonNode registration) {
    boolean isValid =
        !id.isEmpty()
            && List.of("service", "address", "zone", "version", "state").stream()
                .allMatch(field -> registration.path(field).isTextual())
            && List.of("slot_count", "sequence").stream()
                .allMatch(field -> registration.path(field).isIntegralNumber())
            && registration.path("cold_remaining_ms").isNumber()
            && registration.path("address").asText().matches(ADDRESS)
            && registration.path("slot_count").asInt() > 0
            && STATES.contains(registration.path("state").asText());
    if (!isValid) {
      return Optional.empty();
    }
    return Optional.of(
        new BackendServer(
            id,
            registration.path("service").asText(),
            registration.path("address").asText(),
            registration.path("zone").asText(),
            registration.path("slot_count").asInt(),
            registration.path("state").asText().equals(LEAVING_STATE),
            registration.path("born").asLong()));
  }
}
