package org.wigeonstage.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.wigeonstage.store.ObjectList;
import org.wigeonstage.store.StoredObject;

/**
 * Versioned objects in memory, with watchers of their kinds. Safe for use by several threads.
 *
 * <p>Writes are numbered from 1. The number of a write becomes the version of the object and the
 * revision of its kind.
 */
final class ObjectTable {

  /** Is notified once, of the next write to an object of a kind. */
  @FunctionalInterface
  interface Watcher {
    void onWrite(ObjectList list);
  }

  private final Map<String, TreeMap<String, StoredObject>> kinds = new HashMap<>();
  private final Map<String, Long> revisions = new HashMap<>();
  private final Map<String, List<Watcher>> watchers = new HashMap<>();
  private long lastRevision;

  synchronized Optional<StoredObject> get(String kind, String name) {
    return Optional.ofNullable(objects(kind).get(name));
  }

  synchronized ObjectList list(String kind) {
    return new ObjectList(revisions.getOrDefault(kind, 0L), List.copyOf(objects(kind).values()));
  }

  /**
   * Writes an object; returns its new version, or empty if it does not have the expected version.
   * The version of an object that does not exist is 0.
   */
  OptionalLong put(String kind, String name, long expectedVersion, String value) {
    List<Watcher> notified;
    long version;
    synchronized (this) {
      StoredObject existing = objects(kind).get(name);
      long current = existing == null ? 0 : existing.version();
      if (current != expectedVersion) {
        return OptionalLong.empty();
      }
      lastRevision++;
      version = lastRevision;
      objects(kind).put(name, new StoredObject(name, version, value));
      revisions.put(kind, version);
      notified = Optional.ofNullable(watchers.remove(kind)).orElse(List.of());
    }
    ObjectList list = list(kind);
    notified.forEach(watcher -> watcher.onWrite(list));
    return OptionalLong.of(version);
  }

  /**
   * Returns the objects of a kind if one was written after a revision; otherwise adds a watcher and
   * returns empty.
   */
  synchronized Optional<ObjectList> listOrWatch(String kind, long afterRevision, Watcher watcher) {
    if (revisions.getOrDefault(kind, 0L) > afterRevision) {
      return Optional.of(list(kind));
    }
    watchers.computeIfAbsent(kind, key -> new ArrayList<>()).add(watcher);
    return Optional.empty();
  }

  synchronized void removeWatcher(String kind, Watcher watcher) {
    watchers.getOrDefault(kind, new ArrayList<>()).remove(watcher);
  }

  private TreeMap<String, StoredObject> objects(String kind) {
    return kinds.computeIfAbsent(kind, key -> new TreeMap<>());
  }
}
