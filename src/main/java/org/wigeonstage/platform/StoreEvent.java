package org.wigeonstage.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.WigeonstageException;

/**
 * A change to an object.
 *
 * @param object the object after the change, or before its removal
 * @param isDeleted whether it was removed
 */
record StoreEvent(StoreObject object, boolean isDeleted) {

  /**
   * Decodes the response to a watch. Events about objects without a readable name are left out and
   * logged.
   *
   * @throws WigeonstageException if the response itself can't be read
   */
  static PlatformStoreClient.Changes decodeChanges(byte[] body) {
    Map<String, RawJson> fields = RawJson.of(body).fields();
    RawJson listed = fields.get("events");
    if (listed == null || !fields.containsKey("at")) {
      throw new WigeonstageException(
          ErrorCode.BAD_REQUEST, "the changes have no events or revision");
    }
    List<StoreEvent> events = new ArrayList<>();
    List<RawJson> elements = listed.elements();
    for (RawJson event : elements) {
      Map<String, RawJson> eventFields = event.fields();
      RawJson object = eventFields.get("resource_object");
      RawJson deleted = eventFields.get("deleted");
      boolean isDeleted = deleted != null && deleted.parse().asBoolean();
      if (object != null) {
        StoreObject.tryDecode(object)
            .ifPresent(decoded -> events.add(new StoreEvent(decoded, isDeleted)));
      }
    }
    return new PlatformStoreClient.Changes(
        fields.get("at").parse().asLong(), events, elements.isEmpty());
  }
}
