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
 * Counts the entries, so that each can keep to its share of every account's limit. Safe for use by
 * several threads.
 */
public final class LimitShare {

  /** The kind of the objects by which entries make themselves known. */
  public static final String KIND = "entries";

  /** What an entry says of itself. */
  private record EntryRegistration(String name, String failureDomain) {}

  private final String name;
  private final String failureDomain;
  private final Set<String> registered = new HashSet<>();
  private Set<String> suspected = Set.of();
  private boolean isKnown;

  /**
   * Creates a count of this entry alone.
   *
   * @param name the entry's name
   * @param failureDomain the failure domain of its host
   */
  public LimitShare(String name, String failureDomain) {
    this.name = name;
    this.failureDomain = failureDomain;
    registered.add(name);
  }

  /**
   * Makes this entry known, unless that is done. Blocks.
   *
   * @param store the platform's object API
   * @throws StoreException where the platform can't be reached
   */
  public void register(ObjectStore store) {
    if (isKnown()) {
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
    markKnown();
  }

  private synchronized boolean isKnown() {
    return isKnown;
  }

  private synchronized void markKnown() {
    isKnown = true;
  }

  /**
   * Takes the entries that are registered.
   *
   * @param entries all objects of the kind
   */
  public synchronized void updateRegisteredEntries(ObjectList entries) {
    registered.clear();
    registered.add(name);
    entries.objects().forEach(object -> registered.add(object.name()));
  }

  /**
   * Takes the processes that the platform's list of hosts calls leaving or gone.
   *
   * @param names the processes
   */
  public synchronized void updateSuspectedEntries(Set<String> names) {
    suspected = Set.copyOf(names);
  }

  /**
   * Returns this entry's share of each limit.
   *
   * @return 1 by the number of entries that are not suspected to leave, this one included
   */
  public synchronized double share() {
    long others =
        registered.stream()
            .filter(entry -> !entry.equals(name))
            .filter(entry -> !suspected.contains(entry))
            .count();
    return 1.0 / (1 + others);
  }
}
