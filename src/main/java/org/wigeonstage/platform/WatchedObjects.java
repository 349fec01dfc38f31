package org.wigeonstage.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A copy of the store's objects of one kind, read as a list and then kept up to date by a watch.
 *
 * <p>Not thread-safe.
 */
final class WatchedObjects {

  private final PlatformStoreClient client;
  private final String kind;
  private final Map<String, StoreObject> objectsByName = new TreeMap<>();
  private long revision = -1;

  WatchedObjects(PlatformStoreClient client, String kind) {
    this.client = client;
    this.kind = kind;
  }

  /** Replaces the copy with the complete list from the store. */
  void read() {
    PlatformStoreClient.Listing listing = client.list(kind);
    objectsByName.clear();
    listing.objects().forEach(object -> objectsByName.put(object.name(), object));
    revision = listing.revision();
  }

  /**
   * Waits for changes since the last call and applies them. Reads the complete list instead on the
   * first call, and if the store no longer has the changes.
   *
   * <p>A response without events does not advance the revision: a store that is about to drop its
   * history may withhold events, and the next call requests them again.
   */
  void await(Duration maxWait) {
    if (revision < 0) {
      read();
      return;
    }
    Optional<PlatformStoreClient.Changes> changes = client.watch(kind, revision, maxWait);
    if (changes.isEmpty()) {
      read();
      return;
    }
    if (!changes.get().isEmpty()) {
      changes.get().events().forEach(this::apply);
      revision = Math.max(revision, changes.get().revision());
    }
  }

  private void apply(StoreEvent event) {
    if (event.isDeleted()) {
      objectsByName.remove(event.object().name());
    } else {
      objectsByName.put(event.object().name(), event.object());
    }
  }

  long revision() {
    return revision;
  }

  Optional<StoreObject> object(String name) {
    return Optional.ofNullable(objectsByName.get(name));
  }

  List<StoreObject> objects() {
    return new ArrayList<>(objectsByName.values());
  }
}
