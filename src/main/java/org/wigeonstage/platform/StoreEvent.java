package org.wigeonstage.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.WigeonstageException;

/**
 * A change to an object.
 *
 * @param object the object after the change, or before its removal
 * @param isDeleted whether it was removed
 */
record StoreEvent(StoreObject object, boolean isDeleted) {

  private static final Set<String> FIELDS = Set.of("events", "at");
  private static final Set<String> EVENT_FIELDS = Set.of("resource_object", "deleted");

  /**
   * Decodes the response to a watch. Events about objects without a readable name are left out and
   * logged.
   *
   * @throws WigeonstageException if the response itself can't be read
   */
  static PlatformStoreClient.Changes decodeChanges(ObjectKind kind, byte[] body) {
    Map<String, RawJson> fields = RawJson.of(body).fields(FIELDS);
    RawJson listed = fields.get("events");
    if (listed == null || !fields.containsKey("at")) {
      throw new WigeonstageException(
          ErrorCode.BAD_REQUEST, "the changes have no events or revision");
    }
    List<StoreEvent> events = new ArrayList<>();
    int count = listed.forEachElement(event -> decode(kind, event).ifPresent(events::add));
    return new PlatformStoreClient.Changes(fields.get("at").parse().asLong(), events, count == 0);
  }

  /** Decodes an event, or returns empty if it is about no object that can be kept. */
  private static Optional<StoreEvent> decode(ObjectKind kind, RawJson event) {
    Map<String, RawJson> fields = event.fields(EVENT_FIELDS);
    RawJson object = fields.get("resource_object");
    RawJson deleted = fields.get("deleted");
    boolean isDeleted = deleted != null && deleted.parse().asBoolean();
    return Optional.ofNullable(object)
        .flatMap(raw -> StoreObject.tryDecode(kind, raw, Map.of()))
        .filter(StoreObject::hasBoundedName)
        .map(decoded -> new StoreEvent(decoded, isDeleted));
  }
}
