package org.wigeonstage.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import org.wigeonstage.fleet.BackendServer;

/** Reads a runner's entry. Entries may come from other writers, and then name no runner. */
final class ServerDecoder {

  private static final String ADDRESS = "[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}";
  private static final String LEAVING = "draining";
  private static final List<String> STATES = List.of("ready", LEAVING);

  private ServerDecoder() {}

  static Optional<BackendServer> decode(String id, JsonNode entry) {
    boolean isSound =
        !id.isEmpty()
            && List.of("service", "address", "zone", "version", "state").stream()
                .allMatch(field -> entry.path(field).isTextual())
            && List.of("slot_count", "sequence").stream()
                .allMatch(field -> entry.path(field).isIntegralNumber())
            && entry.path("cold_remaining_ms").isNumber()
            && entry.path("address").asText().matches(ADDRESS)
            && entry.path("slot_count").asInt() > 0
            && STATES.contains(entry.path("state").asText());
    if (!isSound) {
      return Optional.empty();
    }
    return Optional.of(
        new BackendServer(
            id,
            entry.path("service").asText(),
            entry.path("address").asText(),
            entry.path("zone").asText(),
            entry.path("slot_count").asInt(),
            entry.path("state").asText().equals(LEAVING),
            entry.path("born").asLong()));
  }
}
