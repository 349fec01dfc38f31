package org.wigeonstage.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.fleet.StoreVersion;

/**
 * A copy of the store's objects of one kind, read as a list and then kept up to date by a watch.
 *
 * <p>Not thread-safe.
 */
final class WatchedObjects {

  private final PlatformStoreClient client;
  private final ObjectKind kind;
  private final Map<String, StoreObject> objectsByName = new TreeMap<>();
  private @Nullable StoreVersion version;

  WatchedObjects(PlatformStoreClient client, ObjectKind kind) {
    this.client = client;
    this.kind = kind;
  }

  /** Replaces the copy with the complete list from the store. */
  void read() {
    StoreVersion before = version;
    KnownObjects known =
        before == null ? KnownObjects.NONE : new KnownObjects(before.era(), objectsByName);
    PlatformStoreClient.Listing listing = client.list(kind, known);
    objectsByName.clear();
    listing.objects().forEach(object -> objectsByName.put(object.name(), object));
    version = listing.version();
  }

  /**
   * Waits for changes since the last call and applies them. Reads the complete list instead on the
   * first call, and if the store no longer has the changes or was restored.
   *
   * <p>A response without events does not advance the revision: a store that is about to drop its
   * history may withhold events, and the next call requests them again.
   */
  void await(Duration maxWait) {
    StoreVersion current = version;
    if (current == null) {
      read();
      return;
    }
    Optional<PlatformStoreClient.Changes> changes = client.watch(kind, current, maxWait);
    if (changes.isEmpty()) {
      read();
      return;
    }
    if (!changes.get().isEmpty()) {
      changes.get().events().forEach(this::apply);
      long revision = Math.max(current.revision(), changes.get().revision());
      version = new StoreVersion(current.era(), revision);
    }
  }

  private void apply(StoreEvent event) {
    if (event.isDeleted()) {
      objectsByName.remove(event.object().name());
    } else {
      objectsByName.put(event.object().name(), event.object());
    }
  }

  /** Returns the version of the copy; the list must have been read. */
  StoreVersion version() {
    return Objects.requireNonNull(version, "the list was not read");
  }

  /** Returns the version at which an object of the copy last changed. */
  StoreVersion versionOf(StoreObject object) {
    return new StoreVersion(version().era(), object.revision());
  }

  Optional<StoreObject> object(String name) {
    return Optional.ofNullable(objectsByName.get(name));
  }

  List<StoreObject> objects() {
    return new ArrayList<>(objectsByName.values());
  }
}
