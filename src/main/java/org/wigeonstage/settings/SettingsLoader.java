package org.wigeonstage.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.wigeonstage.common.DocumentFault;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.InvalidDocumentException;
import org.wigeonstage.common.Json;
import org.wigeonstage.common.JsonSchemaChecker;
import org.wigeonstage.common.WigeonstageException;

/** Loads settings files with defaults, and rejects invalid ones with a list of all their faults. */
public final class SettingsLoader {

  private static final int MAX_PORT = 65_535;
  private static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9._-]{0,63}";
  private static final String ADDRESS_PATTERN = "[0-9.]{7,15}:[0-9]{1,5}";
  private static final String GATEWAY_DOCUMENT = "the settings file of the gateway";

  /** The feature that moves the traffic of a pool between versions of its servers. */
  private static final String ROLLOUT_FEATURE = "rollout";

  /** The feature that bounds the memory of a gateway. */
  private static final String MEMORY_FEATURE = "pressure";

  private SettingsLoader() {}

  /**
   * Loads the settings of an entry.
   *
   * @param file the JSON file
   * @return the settings
   */
  public static EntrySettings loadEntry(Path file) {
    return parseEntry(readFile(file));
  }

  /**
   * Loads the settings of an agent.
   *
   * @param file the JSON file
   * @return the settings
   */
  public static AgentSettings loadAgent(Path file) {
    return parseAgent(readFile(file));
  }

  /**
   * Parses the settings of an entry.
   *
   * @param text the JSON text
   * @return the settings
   */
  public static EntrySettings parseEntry(String text) {
    JsonNode tree = parseWithDefaults("entry", text);
    List<DocumentFault> faults = checkSchema("entry", tree);
    checkPorts(tree, List.of("callers", "operators", "platform"), faults);
    rejectIfFaulty("the settings file of the entry", faults);
    return Json.read(tree, EntrySettings.class);
  }

  /**
   * Parses the settings of an agent.
   *
   * @param text the JSON text
   * @return the settings
   */
  public static AgentSettings parseAgent(String text) {
    JsonNode tree = parseWithDefaults("agent", text);
    List<DocumentFault> faults = checkSchema("agent", tree);
    checkPorts(tree, List.of("entries", "operators", "backendServer", "platform"), faults);
    if (tree.path("windowMax").asInt() < tree.path("windowMin").asInt()) {
      faults.add(new DocumentFault("/windowMax", "must not be below windowMin"));
    }
    rejectIfFaulty("the settings file of the agent", faults);
    return Json.read(tree, AgentSettings.class);
  }

  /**
   * Loads the settings of a gateway.
   *
   * @param file the JSON file
   * @return the settings
   */
  public static GatewaySettings loadGateway(Path file) {
    return parseGateway(readFile(file));
  }

  /**
   * Parses the settings of a gateway. Checks and reads each field here, instead of using a schema
   * and an object mapper, because loading these takes a large part of a gateway's start.
   *
   * @param text the JSON text
   * @return the settings
   */
  public static GatewaySettings parseGateway(String text) {
    JsonNode tree = parseWithDefaults("gateway", text);
    List<DocumentFault> faults = new ArrayList<>();
    if (!tree.isObject()) {
      faults.add(new DocumentFault("", "must be an object"));
      rejectIfFaulty(GATEWAY_DOCUMENT, faults);
    }
    for (String field : List.of("name", "failureDomain")) {
      checkText(tree, field, NAME_PATTERN, faults);
    }
    List<String> addresses = List.of("callers", "readiness", "peers", "metrics", "store");
    for (String field : addresses) {
      checkText(tree, field, ADDRESS_PATTERN, faults);
    }
    checkPorts(tree, addresses, faults);
    checkText(tree, "log", "json|text", faults);
    checkNumber(tree, "revocationMillis", 1, 600_000, faults);
    checkNumber(tree, "configurationMillis", 500, 600_000, faults);
    checkNumber(tree, "leavingMillis", 500, 600_000, faults);
    checkNumber(tree, "retryRatio", 0, 10, faults);
    checkNumber(tree, "retryFixed", 0, 1_000_000, faults);
    checkNumber(tree, "retryWindowSeconds", 1, 3600, faults);
    checkNumber(tree, "quotaWindowSeconds", 1, 3600, faults);
    checkNumber(tree, "quotaOverage", 0, 10, faults);
    checkNumber(tree, "quotaSlack", 0, 1e12, faults);
    checkNumber(tree, "logOneIn", 1, 1_000_000, faults);
    checkNumber(tree, "graceSeconds", 1, 3600, faults);
    checkTexts(tree, "heldPromptParts", faults);
    checkTexts(tree, "releasedPromptParts", faults);
    checkTexts(tree, "features", faults);
    checkNumber(tree, "rolloutMaxShare", 0, 1, faults);
    checkNumber(tree, "rolloutSlack", 0, 1_000_000, faults);
    checkNumber(tree, "rolloutRollbackMillis", 1, 600_000, faults);
    checkNumber(tree, "memoryMegabytes", 64, 1_000_000, faults);
    checkNumber(tree, "crossingCostMillis", 0, 10_000, faults);
    checkBoolean(tree, "isFirstStart", faults);
    checkBoolean(tree, "learnedServerLimits", faults);
    rejectIfFaulty(GATEWAY_DOCUMENT, faults);
    return parseGateway(tree);
  }

  private static GatewaySettings parseGateway(JsonNode tree) {
    Set<String> features = texts(tree, "features");
    return new GatewaySettings(
        tree.path("name").asText(),
        tree.path("failureDomain").asText(),
        tree.path("callers").asText(),
        tree.path("readiness").asText(),
        tree.path("peers").asText(),
        tree.path("metrics").asText(),
        tree.path("store").asText(),
        tree.path("isFirstStart").asBoolean(),
        tree.path("revocationMillis").asLong(),
        tree.path("configurationMillis").asLong(),
        tree.path("leavingMillis").asLong(),
        tree.path("retryRatio").asDouble(),
        tree.path("retryFixed").asInt(),
        tree.path("retryWindowSeconds").asInt(),
        tree.path("quotaWindowSeconds").asInt(),
        tree.path("quotaOverage").asDouble(),
        tree.path("quotaSlack").asLong(),
        tree.path("graceSeconds").asInt(),
        tree.path("logOneIn").asInt(),
        tree.path("log").asText(),
        texts(tree, "heldPromptParts"),
        texts(tree, "releasedPromptParts"),
        tree.path("learnedServerLimits").asBoolean(),
        features.contains(ROLLOUT_FEATURE) ? Optional.of(rollout(tree)) : Optional.empty(),
        features.contains(MEMORY_FEATURE)
            ? OptionalInt.of(tree.path("memoryMegabytes").asInt())
            : OptionalInt.empty(),
        tree.path("crossingCostMillis").asLong());
  }

  private static RolloutSettings rollout(JsonNode tree) {
    return new RolloutSettings(
        tree.path("rolloutMaxShare").asDouble(),
        tree.path("rolloutSlack").asInt(),
        tree.path("rolloutRollbackMillis").asLong());
  }

  private static Set<String> texts(JsonNode tree, String field) {
    Set<String> texts = new HashSet<>();
    tree.path(field).forEach(element -> texts.add(element.asText()));
    return texts;
  }

  private static void checkTexts(JsonNode tree, String field, List<DocumentFault> faults) {
    JsonNode value = tree.path(field);
    if (!value.isArray()) {
      faults.add(new DocumentFault("/" + field, "must be an array of strings"));
      return;
    }
    for (JsonNode element : value) {
      if (!element.isTextual() || element.asText().isEmpty()) {
        faults.add(new DocumentFault("/" + field, "must contain only strings that are not empty"));
        return;
      }
    }
  }

  private static void checkBoolean(JsonNode tree, String field, List<DocumentFault> faults) {
    if (!tree.path(field).isBoolean()) {
      faults.add(new DocumentFault("/" + field, "must be true or false"));
    }
  }

  private static void checkText(
      JsonNode tree, String field, String pattern, List<DocumentFault> faults) {
    JsonNode value = tree.path(field);
    if (!value.isTextual()) {
      faults.add(new DocumentFault("/" + field, "must be a string"));
    } else if (!value.asText().matches(pattern)) {
      faults.add(new DocumentFault("/" + field, "must match " + pattern));
    }
  }

  private static void checkNumber(
      JsonNode tree, String field, double min, double max, List<DocumentFault> faults) {
    JsonNode value = tree.path(field);
    if (!value.isNumber() || value.asDouble() < min || value.asDouble() > max) {
      faults.add(new DocumentFault("/" + field, "must be a number from " + min + " to " + max));
    }
  }

  private static JsonNode parseWithDefaults(String role, String text) {
    JsonNode settings = Json.parse(text);
    JsonNode defaults = Json.parse(readResource(role + ".defaults.json"));
    return settings.isObject() ? merge((ObjectNode) defaults, (ObjectNode) settings) : settings;
  }

  private static List<DocumentFault> checkSchema(String role, JsonNode tree) {
    JsonSchemaChecker schema = JsonSchemaChecker.of(SettingsLoader.class, role + ".schema.json");
    return new ArrayList<>(schema.check(tree));
  }

  /** Copies the fields of the overlay to the base, and merges objects that both contain. */
  private static ObjectNode merge(ObjectNode base, ObjectNode overlay) {
    overlay
        .properties()
        .forEach(
            field -> {
              JsonNode baseValue = base.get(field.getKey());
              JsonNode overlayValue = field.getValue();
              boolean areObjects =
                  baseValue instanceof ObjectNode && overlayValue instanceof ObjectNode;
              base.set(
                  field.getKey(),
                  areObjects
                      ? merge((ObjectNode) baseValue, (ObjectNode) overlayValue)
                      : overlayValue);
            });
    return base;
  }

  private static void checkPorts(JsonNode tree, List<String> fields, List<DocumentFault> faults) {
    for (String field : fields) {
      String address = tree.path(field).asText();
      String port = address.substring(address.lastIndexOf(':') + 1);
      if (port.matches("[0-9]{1,9}") && Integer.parseInt(port) > MAX_PORT) {
        faults.add(new DocumentFault("/" + field, "port " + port + " is above " + MAX_PORT));
      }
    }
  }

  private static void rejectIfFaulty(String document, List<DocumentFault> faults) {
    if (!faults.isEmpty()) {
      throw new InvalidDocumentException(document, faults);
    }
  }

  private static String readResource(String name) {
    try (InputStream in = SettingsLoader.class.getResourceAsStream(name)) {
      if (in == null) {
        throw new IllegalArgumentException("resource not found: " + name);
      }
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static String readFile(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new WigeonstageException(ErrorCode.IO, "can't read the settings file " + file, e);
    }
  }
}
