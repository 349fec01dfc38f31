package org.wigeonstage.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.fleet.StoreVersion;

/**
 * A page of the list of one kind's objects.
 *
 * @param version the store's version
 * @param objects the objects whose names could be read and are not too long
 * @param lastName the last name that could be read, after which the next page starts; empty if
 *     there is none
 * @param hasMore whether more pages follow
 */
record StorePage(
    StoreVersion version, List<StoreObject> objects, String lastName, boolean hasMore) {

  private static final Set<String> FIELDS = Set.of("entries", "at", "has_more");

  /**
   * Decodes a page. Entries without a readable name are left out and logged.
   *
   * @param era the era that the store stated
   * @param known the objects of the list before
   * @throws WigeonstageException if the page itself can't be read
   */
  static StorePage decode(ObjectKind kind, byte[] body, long era, KnownObjects known) {
    Map<String, RawJson> fields = RawJson.of(body).fields(FIELDS);
    RawJson entries = fields.get("entries");
    if (entries == null || !fields.containsKey("at")) {
      throw new WigeonstageException(ErrorCode.BAD_REQUEST, "the page has no entries or revision");
    }
    List<StoreObject> objects = new ArrayList<>();
    entries.forEachElement(
        entry -> StoreObject.tryDecode(kind, entry, known.inEra(era)).ifPresent(objects::add));
    String lastName = objects.isEmpty() ? "" : objects.get(objects.size() - 1).name();
    objects.removeIf(object -> !object.hasBoundedName());
    RawJson hasMore = fields.get("has_more");
    return new StorePage(
        new StoreVersion(era, fields.get("at").parse().asLong()),
        objects,
        lastName,
        hasMore != null && hasMore.parse().asBoolean());
  }
}
