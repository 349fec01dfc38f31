package org.wigeonstage.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.fleet.StoreVersion;
import org.wigeonstage.store.StoreException;

/**
 * A page of the list of one kind's objects.
 *
 * @param version the store's version
 * @param objects the objects whose names could be read
 * @param hasMore whether more pages follow
 */
record StorePage(StoreVersion version, List<StoreObject> objects, boolean hasMore) {

  /**
   * Decodes a page. Entries without a readable name are left out and logged.
   *
   * @throws WigeonstageException if the page itself can't be read
   */
  static StorePage decode(byte[] body, long era) {
    Map<String, RawJson> fields = RawJson.of(body).fields();
    RawJson entries = fields.get("entries");
    if (entries == null || !fields.containsKey("at")) {
      throw new WigeonstageException(ErrorCode.BAD_REQUEST, "the page has no entries or revision");
    }
    List<StoreObject> objects = new ArrayList<>();
    for (RawJson entry : entries.elements()) {
      StoreObject.tryDecode(entry).ifPresent(objects::add);
    }
    RawJson hasMore = fields.get("has_more");
    return new StorePage(
        new StoreVersion(era, fields.get("at").parse().asLong()),
        objects,
        hasMore != null && hasMore.parse().asBoolean());
  }

  /**
   * Returns the name of the last object, after which the next page starts.
   *
   * @throws StoreException if no name could be read
   */
  String lastName() {
    if (objects.isEmpty()) {
      throw new StoreException(
          ErrorCode.STORE_UNAVAILABLE, "a page of the store's list has no readable name", null);
    }
    return objects.get(objects.size() - 1).name();
  }
}
