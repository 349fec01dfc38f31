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
import java.util.List;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.Fault;
import org.wigeonstage.common.InvalidDocumentException;
import org.wigeonstage.common.Json;
import org.wigeonstage.common.JsonSchemaChecker;
import org.wigeonstage.common.WigeonstageException;

/** Reads settings files, fills in defaults and refuses files with faults, naming all of them. */
public final class SettingsLoader {

  private static final int MAX_PORT = 65_535;

  private SettingsLoader() {}

  /**
   * Reads the settings of an entry.
   *
   * @param file the JSON file
   * @return the settings
   */
  public static EntrySettings loadEntry(Path file) {
    return entryOf(readFile(file));
  }

  /**
   * Reads the settings of an agent.
   *
   * @param file the JSON file
   * @return the settings
   */
  public static AgentSettings loadAgent(Path file) {
    return agentOf(readFile(file));
  }

  /**
   * Returns the settings of an entry.
   *
   * @param text the JSON text
   * @return the settings
   */
  public static EntrySettings entryOf(String text) {
    JsonNode tree = complete("entry", text);
    List<Fault> faults = schemaFaults("entry", tree);
    checkPorts(tree, List.of("callers", "operators", "platform"), faults);
    refuseIfFaulty("the file of the entry's settings", faults);
    return Json.read(tree, EntrySettings.class);
  }

  /**
   * Returns the settings of an agent.
   *
   * @param text the JSON text
   * @return the settings
   */
  public static AgentSettings agentOf(String text) {
    JsonNode tree = complete("agent", text);
    List<Fault> faults = schemaFaults("agent", tree);
    checkPorts(tree, List.of("entries", "operators", "backendServer", "platform"), faults);
    if (tree.path("windowMax").asInt() < tree.path("windowMin").asInt()) {
      faults.add(new Fault("/windowMax", "must not be below windowMin"));
    }
    refuseIfFaulty("the file of the agent's settings", faults);
    return Json.read(tree, AgentSettings.class);
  }

  private static JsonNode complete(String role, String text) {
    JsonNode given = Json.parse(text);
    JsonNode defaults = Json.parse(resource(role + ".defaults.json"));
    return given.isObject() ? merge((ObjectNode) defaults, (ObjectNode) given) : given;
  }

  private static List<Fault> schemaFaults(String role, JsonNode tree) {
    JsonSchemaChecker schema = JsonSchemaChecker.of(SettingsLoader.class, role + ".schema.json");
    return new ArrayList<>(schema.check(tree));
  }

  private static ObjectNode merge(ObjectNode base, ObjectNode overlay) {
    overlay
        .properties()
        .forEach(
            field -> {
              JsonNode lower = base.get(field.getKey());
              JsonNode upper = field.getValue();
              boolean nested = lower instanceof ObjectNode && upper instanceof ObjectNode;
              base.set(
                  field.getKey(), nested ? merge((ObjectNode) lower, (ObjectNode) upper) : upper);
            });
    return base;
  }

  private static void checkPorts(JsonNode tree, List<String> fields, List<Fault> faults) {
    for (String field : fields) {
      String address = tree.path(field).asText();
      String port = address.substring(address.lastIndexOf(':') + 1);
      if (port.matches("[0-9]{1,9}") && Integer.parseInt(port) > MAX_PORT) {
        faults.add(new Fault("/" + field, "port " + port + " is above " + MAX_PORT));
      }
    }
  }

  private static void refuseIfFaulty(String document, List<Fault> faults) {
    if (!faults.isEmpty()) {
      throw new InvalidDocumentException(document, faults);
    }
  }

  private static String resource(String name) {
    try (InputStream in = SettingsLoader.class.getResourceAsStream(name)) {
      if (in == null) {
        throw new IllegalArgumentException("no resource " + name);
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
      throw new WigeonstageException(ErrorCode.IO, "can't read " + file, e);
    }
  }
}
