package org.wigeonstage.entry;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.Json;
import org.wigeonstage.config.ActiveConfiguration;
import org.wigeonstage.config.ChangeRequest;
import org.wigeonstage.config.ChangeResult;
import org.wigeonstage.config.ConfigurationRecord;
import org.wigeonstage.config.ConfigurationVersion;
import org.wigeonstage.config.ConfigurationWriter;
import org.wigeonstage.http.ServerExchange;
import org.wigeonstage.store.ObjectStore;

/** The operators' calls about the configuration, in JSON. */
final class ConfigurationApi {

  private static final String JSON = "application/json";
  private static final int OK = 200;
  private static final int ACCEPTED_UNDECIDED = 202;

  private final ActiveConfiguration active;
  private final ObjectStore store;
  private final ConfigurationWriter writer;

  ConfigurationApi(ActiveConfiguration active, ObjectStore store, ConfigurationWriter writer) {
    this.active = active;
    this.store = store;
    this.writer = writer;
  }

  /** Answers with the configuration in force at this entry. */
  void get(ServerExchange exchange) {
    ConfigurationVersion current = active.current();
    ObjectNode answer = JsonNodeFactory.instance.objectNode().put("version", current.version());
    if (current.version() > 0) {
      answer.set("document", Json.parse(current.text()));
    }
    exchange.respond(OK, JSON, Json.writePretty(answer));
  }

  /** Answers with the accepted changes that the platform holds. */
  void history(ServerExchange exchange) {
    var history =
        store
            .get(ConfigurationRecord.KIND, ConfigurationRecord.NAME)
            .map(object -> Json.read(object.value(), ConfigurationRecord.class).history());
    exchange.respond(OK, JSON, Json.writePretty(history.orElse(List.of())));
  }

  /** Submits a change; the answer says whether it has taken effect. */
  void submit(ServerExchange exchange) {
    ChangeRequest request = Json.read(exchange.text(), ChangeRequest.class);
    ChangeResult result = writer.submit(request);
    exchange.respond(statusOf(result), JSON, Json.writePretty(result));
  }

  private static int statusOf(ChangeResult result) {
    return switch (result.decision()) {
      case ACCEPTED -> OK;
      case REFUSED -> ErrorCode.VERSION_CONFLICT.httpStatus();
      case UNDECIDED -> ACCEPTED_UNDECIDED;
    };
  }
}
