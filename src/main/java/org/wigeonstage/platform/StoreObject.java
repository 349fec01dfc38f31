package org.wigeonstage.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.google.common.flogger.FluentLogger;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.WigeonstageException;

/**
 * An object of the store. Other writers may add objects whose content can't be read.
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

  /**
   * Decodes an object.
   *
   * @throws WigeonstageException if it is not an object or its name can't be read
   */
  static StoreObject decode(RawJson object) {
    Map<String, RawJson> fields = object.fields();
    RawJson metadata = fields.get("metadata");
    JsonNode parsedMetadata = metadata == null ? MissingNode.getInstance() : metadata.parse();
    JsonNode name = parsedMetadata.path("name");
    if (!name.isTextual() || name.asText().isEmpty()) {
      throw new WigeonstageException(ErrorCode.BAD_REQUEST, "the object has no name");
    }
    long revision = parsedMetadata.path("revision").asLong();
    RawJson spec = fields.get("spec");
    if (spec == null) {
      return unreadable(name.asText(), revision, "it has no content");
    }
    if (object.length() > MAX_OBJECT_BYTES) {
      return unreadable(name.asText(), revision, "it has " + object.length() + " bytes");
    }
    try {
      return new StoreObject(
          name.asText(), revision, spec.parse(), status(fields.get("status")), null);
    } catch (RuntimeException e) { // must not affect the other objects of the list
      return unreadable(name.asText(), revision, String.valueOf(e.getMessage()));
    }
  }

  /** Decodes an object, or logs why its name can't be read and returns empty. */
  static Optional<StoreObject> tryDecode(RawJson object) {
    try {
      return Optional.of(decode(object));
    } catch (RuntimeException e) { // must not affect the other objects of the list
      logger.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
          "an object of the store is left out: %s", e.getMessage());
      return Optional.empty();
    }
  }

  private static StoreObject unreadable(String name, long revision, String fault) {
    return new StoreObject(
        name, revision, MissingNode.getInstance(), MissingNode.getInstance(), fault);
  }

  private static JsonNode status(@Nullable RawJson status) {
    try {
      return status == null ? MissingNode.getInstance() : status.parse();
    } catch (RuntimeException e) { // must not make the content unreadable
      return MissingNode.getInstance();
    }
  }
}
