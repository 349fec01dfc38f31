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

/** Checks JSON trees against a schema that is a resource of the program. */
public final class JsonSchemaChecker {

  private final Schema schema;

  private JsonSchemaChecker(Schema schema) {
    this.schema = schema;
  }

  /**
   * Returns a checker with the schema of a resource.
   *
   * @param anchor the class beside which the resource lies
   * @param resource the resource's name
   * @return the checker
   */
  public static JsonSchemaChecker of(Class<?> anchor, String resource) {
    try (InputStream in = anchor.getResourceAsStream(resource)) {
      if (in == null) {
        throw new IllegalArgumentException("no resource " + resource);
      }
      return new JsonSchemaChecker(
          SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
              .getSchema(in, InputFormat.JSON));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Checks a tree.
   *
   * @param tree the tree
   * @return all faults, each with its JSON pointer; empty where there are none
   */
  public List<DocumentFault> check(JsonNode tree) {
    return schema.validate(tree).stream()
        .map(error -> new DocumentFault(error.getInstanceLocation().toString(), error.getMessage()))
        .sorted()
        .toList();
  }
}
