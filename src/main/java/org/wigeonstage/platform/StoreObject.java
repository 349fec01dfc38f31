package org.wigeonstage.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.google.common.flogger.FluentLogger;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.JsonSelection;
import org.wigeonstage.common.WigeonstageException;

/**
 * An object of the store, with the parts of its content that its kind selects. Other writers may
 * add objects whose content can't be read.
 *
 * @param name the name, which is unique among the objects of a kind
 * @param revision the revision of the store at which the object last changed, or 0 if not given
 * @param spec the content, or a missing node if it is absent or can't be read
 * @param status what the system has written about the object, or a missing node if it has written
 *     nothing or it can't be read
 * @param fault why the content can't be read, or null if it can be
 */
record StoreObject(
    String name, long revision, JsonNode spec, JsonNode status, @Nullable String fault) {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int LOG_INTERVAL_SECONDS = 10;

  /** Twice what the store allows for the content, as the limit also covers metadata and status. */
  private static final int MAX_OBJECT_BYTES = 2 * 1024 * 1024;

  /** Objects with longer names are left out of lists. */
  private static final int MAX_NAME_LENGTH = 1024;

  private static final JsonNode NONE = MissingNode.getInstance();
  private static final Set<String> FIELDS = Set.of("metadata", "spec", "status");
  private static final JsonSelection METADATA =
      JsonSelection.fields(JsonSelection.scalar(MAX_OBJECT_BYTES), "name", "revision");

  /**
   * Decodes an object.
   *
   * @param known objects that were read before in the same era, by name; one of the same revision
   *     is returned as it is
   * @throws WigeonstageException if it is not an object or its name can't be read
   */
  static StoreObject decode(ObjectKind kind, RawJson object, Map<String, StoreObject> known) {
    Map<String, RawJson> fields = object.fields(FIELDS);
    RawJson metadata = fields.get("metadata");
    JsonNode parsedMetadata = metadata == null ? NONE : metadata.parse(METADATA);
    JsonNode name = parsedMetadata.path("name");
    if (!name.isTextual() || name.asText().isEmpty()) {
      throw new WigeonstageException(ErrorCode.BAD_REQUEST, "the object has no name");
    }
    long revision = parsedMetadata.path("revision").asLong();
    StoreObject before = known.get(name.asText());
    if (before != null && revision > 0 && before.revision() == revision) {
      return before;
    }
    RawJson spec = fields.get("spec");
    if (spec == null) {
      return unreadable(name.asText(), revision, "it has no content");
    }
    if (object.length() > MAX_OBJECT_BYTES) {
      return unreadable(name.asText(), revision, "it has " + object.length() + " bytes");
    }
    if (!kind.keeps(name.asText())) {
      return unreadable(name.asText(), revision, "objects of this name are not read");
    }
    try {
      return new StoreObject(
          name.asText(),
          revision,
          spec.parse(kind.spec()),
          kind.status().map(selected -> status(fields.get("status"), selected)).orElse(NONE),
          null);
    } catch (RuntimeException e) { // must not affect the other objects of the list
      return unreadable(name.asText(), revision, String.valueOf(e.getMessage()));
    }
  }

  /** Decodes an object, or logs why its name can't be read and returns empty. */
  static Optional<StoreObject> tryDecode(
      ObjectKind kind, RawJson object, Map<String, StoreObject> known) {
    try {
      return Optional.of(decode(kind, object, known));
    } catch (RuntimeException e) { // must not affect the other objects of the list
      logger.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
          "an object of the store is left out: %s", e.getMessage());
      return Optional.empty();
    }
  }

  /** Returns whether the name is short enough for the object to be kept while it is listed. */
  boolean hasBoundedName() {
    return name.length() <= MAX_NAME_LENGTH;
  }

  private static StoreObject unreadable(String name, long revision, String fault) {
    return new StoreObject(name, revision, NONE, NONE, fault);
  }

  private static JsonNode status(@Nullable RawJson status, JsonSelection selected) {
    try {
      return status == null ? NONE : status.parse(selected);
    } catch (RuntimeException e) { // must not make the content unreadable
      return NONE;
    }
  }
}
