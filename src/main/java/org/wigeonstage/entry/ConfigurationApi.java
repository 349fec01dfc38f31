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

/** The JSON interface through which operators read and change the configuration. */
final class ConfigurationApi {

  private static final String JSON = "application/json";
  private static final int HTTP_OK = 200;
  private static final int HTTP_ACCEPTED = 202;

  private final ActiveConfiguration activeConfiguration;
  private final ObjectStore store;
  private final ConfigurationWriter writer;

  ConfigurationApi(
      ActiveConfiguration activeConfiguration, ObjectStore store, ConfigurationWriter writer) {
    this.activeConfiguration = activeConfiguration;
    this.store = store;
    this.writer = writer;
  }

  /** Responds with the configuration in force at this entry. */
  void get(ServerExchange exchange) {
    ConfigurationVersion current = activeConfiguration.current();
    ObjectNode body = JsonNodeFactory.instance.objectNode().put("version", current.version());
    if (current.version() > 0) {
      body.set("document", Json.parse(current.text()));
    }
    exchange.respond(HTTP_OK, JSON, Json.writePretty(body));
  }

  /** Responds with the history of accepted changes in the object store. */
  void history(ServerExchange exchange) {
    var history =
        store
            .get(ConfigurationRecord.KIND, ConfigurationRecord.NAME)
            .map(object -> Json.read(object.value(), ConfigurationRecord.class).history());
    exchange.respond(HTTP_OK, JSON, Json.writePretty(history.orElse(List.of())));
  }

  /** Submits a change, and responds with the decision about it. */
  void submit(ServerExchange exchange) {
    ChangeRequest request = Json.read(exchange.text(), ChangeRequest.class);
    ChangeResult result = writer.submit(request);
    exchange.respond(httpStatus(result), JSON, Json.writePretty(result));
  }

  private static int httpStatus(ChangeResult result) {
    return switch (result.decision()) {
      case ACCEPTED -> HTTP_OK;
      case REFUSED -> ErrorCode.VERSION_CONFLICT.httpStatus();
      case UNDECIDED -> HTTP_ACCEPTED;
    };
  }
}
