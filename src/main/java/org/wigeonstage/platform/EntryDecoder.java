package org.wigeonstage.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.telemetry.DecisionLog;

/**
 * Decodes the entries of one kind, each by itself. An entry that can't be decoded is left out, and
 * logged once for each of its revisions.
 *
 * <p>Not thread-safe.
 */
final class EntryDecoder {

  /** The number of characters of a name that are logged. */
  private static final int MAX_LOGGED_NAME_LENGTH = 64;

  /** The number of entries whose faults are logged for each list; the others are only counted. */
  private static final int MAX_LOGGED_ENTRIES = 20;

  private final String kind;
  private Map<String, Long> unreadableRevisions = Map.of();

  EntryDecoder(String kind) {
    this.kind = kind;
  }

  /**
   * Decodes the entries.
   *
   * @param objects the entries
   * @param decoder decodes the name and the content of an entry, or throws a {@link
   *     WigeonstageException}
   * @return the decoded entries in the same order
   */
  <T> List<T> decode(List<StoreObject> objects, BiFunction<String, JsonNode, T> decoder) {
    List<T> decoded = new ArrayList<>();
    Map<String, Long> unreadable = new HashMap<>();
    for (StoreObject object : objects) {
      try {
        decoded.add(decoder.apply(object.name(), object.spec()));
      } catch (RuntimeException e) { // must not affect the other entries
        unreadable.put(object.name(), object.revision());
        if (unreadable.size() <= MAX_LOGGED_ENTRIES && !isLogged(object)) {
          logUnreadable(object, e);
        }
      }
    }
    unreadableRevisions = unreadable;
    return decoded;
  }

  private boolean isLogged(StoreObject object) {
    Long revision = unreadableRevisions.get(object.name());
    return revision != null && revision == object.revision();
  }

  private void logUnreadable(StoreObject object, RuntimeException cause) {
    String name = object.name();
    String fault = object.fault() == null ? String.valueOf(cause.getMessage()) : object.fault();
    DecisionLog.write(
        "entry-unreadable",
        "kind",
        kind,
        "name",
        name.substring(0, Math.min(name.length(), MAX_LOGGED_NAME_LENGTH)),
        "revision",
        object.revision(),
        "fault",
        fault);
  }
}
