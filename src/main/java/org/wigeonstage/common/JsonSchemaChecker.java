package org.wigeonstage.common;

import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.InputFormat;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.List;

/** Validates JSON trees against a JSON schema that is loaded as a resource. */
public final class JsonSchemaChecker {

  private final Schema schema;

  private JsonSchemaChecker(Schema schema) {
    this.schema = schema;
  }

  /**
   * Creates a checker with the schema in a resource.
   *
   * @param anchor the class whose package contains the resource
   * @param resource the name of the resource
   * @return the checker
   */
  public static JsonSchemaChecker of(Class<?> anchor, String resource) {
    try (InputStream in = anchor.getResourceAsStream(resource)) {
      if (in == null) {
        throw new IllegalArgumentException("resource not found: " + resource);
      }
      return new JsonSchemaChecker(
          SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
              .getSchema(in, InputFormat.JSON));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Validates a tree.
   *
   * @param tree the tree
   * @return the faults, ordered by JSON pointer; empty if the tree is valid
   */
  public List<DocumentFault> check(JsonNode tree) {
    return schema.validate(tree).stream()
        .map(error -> new DocumentFault(error.getInstanceLocation().toString(), error.getMessage()))
        .sorted()
        .toList();
  }
}
