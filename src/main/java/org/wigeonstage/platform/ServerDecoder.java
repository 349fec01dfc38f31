package org.wigeonstage.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.fleet.BackendServer;

/**
 * Decodes the registration of a backend server. Other writers may add objects of this kind that are
 * not valid registrations.
 */
final class ServerDecoder {

  /**
   * The maximum number of requests that a server runs concurrently. Engines run a few hundred; a
   * larger number would draw the requests of the whole pool.
   */
  private static final int MAX_SLOTS = 4096;

  private static final String LEAVING_STATE = "draining";
  private static final List<String> STATES = List.of("ready", LEAVING_STATE);

  private ServerDecoder() {}

  /**
   * Decodes a registration.
   *
   * @throws WigeonstageException if a field is missing, mistyped or out of range
   */
  static BackendServer decode(String id, JsonNode registration) {
    RegistrationFields fields = new RegistrationFields(registration);
    String state = fields.text("state");
    if (!STATES.contains(state)) {
      throw RegistrationFields.invalid("state");
    }
    String version = fields.text("version");
    fields.wholeNumber("sequence", Long.MIN_VALUE, Long.MAX_VALUE);
    fields.checkNumber("cold_remaining_ms");
    return new BackendServer(
        RegistrationFields.checkName(id),
        fields.text("service"),
        fields.address("address"),
        fields.text("zone"),
        (int) fields.wholeNumber("slot_count", 1, MAX_SLOTS),
        state.equals(LEAVING_STATE),
        fields.optionalWholeNumber("born").orElse(0),
        version);
  }
}
