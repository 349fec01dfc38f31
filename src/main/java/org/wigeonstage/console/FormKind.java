package org.wigeonstage.console;

import java.util.List;
import java.util.Optional;
import org.wigeonstage.console.Field.Type;

/** The kinds of objects in a configuration document, with the fields of their forms. */
enum FormKind {
  TIERS(
      "tiers",
      "Tiers",
      "tier",
      List.of(
          new Field("name", "Name", Type.TEXT, "tiers are ordered, the first is the highest"),
          new Field(
              "startWithinMillis", "Start within", Type.NUMBER, "milliseconds, at most 300000"),
          new Field("finishWithinMillis", "Finish within", Type.NUMBER, "milliseconds"))),
  ACCOUNTS(
      "accounts",
      "Client accounts",
      "client account",
      List.of(
          new Field("name", "Name", Type.TEXT, ""),
          new Field("tier", "Tier", Type.TEXT, "the name of a tier"),
          new Field(
              "requestsPerSecond", "Limit", Type.NUMBER, "requests a second over all entries"),
          new Field("keyHashes", "Key hashes", Type.LINES, "SHA-256, one a line"),
          new Field("newKey", "New key", Type.NEW_KEY, "stored as its hash only"))),
  POOLS(
      "pools",
      "Backend server pools",
      "pool",
      List.of(
          new Field("name", "Name", Type.TEXT, ""),
          new Field("kind", "Kind", Type.TEXT, "model or service"),
          new Field("models", "Models", Type.LINES, "one a line; none for a service"),
          new Field(
              "members", "Backend servers", Type.MEMBERS, "agent and failure domain, one a line"),
          new Field("checksFencing", "Refuses orders with an old fencing number", Type.BOOLEAN, ""),
          new Field("loads", "To be loaded", Type.LINES, "models and adapters, one a line"),
          new Field(
              "concurrentLoads",
              "Loads at once",
              Type.OPTIONAL_NUMBER,
              "how many backend servers load at the same time; default 1"))),
  RULES(
      "rules",
      "Rules",
      "rule",
      List.of(
          new Field("account", "Client account", Type.OPTIONAL_TEXT, "a pattern; empty for all"),
          new Field("method", "Method", Type.OPTIONAL_TEXT, "empty for all"),
          new Field("path", "Path", Type.OPTIONAL_TEXT, "a pattern such as /services/portal/*"),
          new Field("model", "Model", Type.OPTIONAL_TEXT, "a pattern; empty for all"),
          new Field("nonIdempotent", "Non-idempotent: runs at most once", Type.BOOLEAN, ""),
          new Field("tier", "Tier", Type.OPTIONAL_TEXT, "empty for the account's tier")));

  private final String path;
  private final String title;
  private final String noun;
  private final List<Field> fields;

  FormKind(String path, String title, String noun, List<Field> fields) {
    this.path = path;
    this.title = title;
    this.noun = noun;
    this.fields = fields;
  }

  /** Returns the name of the list in the document, which also names the pages. */
  String path() {
    return path;
  }

  String title() {
    return title;
  }

  String noun() {
    return noun;
  }

  List<Field> fields() {
    return fields;
  }

  static Optional<FormKind> ofPath(String path) {
    return List.of(values()).stream().filter(kind -> kind.path.equals(path)).findFirst();
  }
}
