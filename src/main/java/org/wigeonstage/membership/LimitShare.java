package org.wigeonstage.membership;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.Json;
import org.wigeonstage.store.ObjectList;
import org.wigeonstage.store.ObjectStore;
import org.wigeonstage.store.StoreException;
import org.wigeonstage.store.StoredObject;

/**
 * Registers an entry, and computes the share of each client account's request rate limit that it
 * may use, from the number of registered entries. Safe for use by several threads.
 */
public final class LimitShare {

  /** The kind of the objects that register entries. */
  public static final String KIND = "entries";

  /** The JSON value of the registration of an entry. */
  private record EntryRegistration(String name, String failureDomain) {}

  private final String name;
  private final String failureDomain;
  private final Set<String> registeredEntries = new HashSet<>();
  private Set<String> suspectedLeaving = Set.of();
  private boolean ownRegistered;

  /**
   * Creates a share that counts only this entry.
   *
   * @param name the name of the entry
   * @param failureDomain the failure domain of its host
   */
  public LimitShare(String name, String failureDomain) {
    this.name = name;
    this.failureDomain = failureDomain;
    registeredEntries.add(name);
  }

  /**
   * Registers this entry unless it is registered. Blocks.
   *
   * @param store the object store of the platform
   * @throws StoreException if the store is unavailable
   */
  public void register(ObjectStore store) {
    if (isOwnRegistered()) {
      return;
    }
    Optional<StoredObject> existing = store.get(KIND, name);
    if (existing.isEmpty()) {
      try {
        store.put(KIND, name, 0, Json.write(new EntryRegistration(name, failureDomain)));
      } catch (StoreException e) {
        if (e.code() != ErrorCode.VERSION_CONFLICT) {
          throw e;
        }
      }
    }
    markOwnRegistered();
  }

  private synchronized boolean isOwnRegistered() {
    return ownRegistered;
  }

  private synchronized void markOwnRegistered() {
    ownRegistered = true;
  }

  /**
   * Replaces the registered entries.
   *
   * @param entries all objects of {@link #KIND}
   */
  public synchronized void updateRegisteredEntries(ObjectList entries) {
    registeredEntries.clear();
    registeredEntries.add(name);
    entries.objects().forEach(object -> registeredEntries.add(object.name()));
  }

  /**
   * Replaces the processes that are suspected to be leaving. Entries among them are not counted,
   * except for this one.
   *
   * @param names the names of the processes
   */
  public synchronized void updateSuspectedLeaving(Set<String> names) {
    suspectedLeaving = Set.copyOf(names);
  }

  /**
   * Returns the share of each limit that this entry may use.
   *
   * @return 1 divided by the number of entries that are not suspected to be leaving, including this
   *     one
   */
  public synchronized double share() {
    long otherEntries =
        registeredEntries.stream()
            .filter(entry -> !entry.equals(name))
            .filter(entry -> !suspectedLeaving.contains(entry))
            .count();
    return 1.0 / (1 + otherEntries);
  }
}
