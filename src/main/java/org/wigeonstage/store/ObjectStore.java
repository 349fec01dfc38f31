package org.wigeonstage.store;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * The platform's object store. Methods block, and throw a {@link StoreException} if the platform is
 * unreachable or refuses a call.
 */
public interface ObjectStore {

  /**
   * Reads an object.
   *
   * @param kind the object's kind
   * @param name the object's name
   * @return the object, or empty if it does not exist
   */
  Optional<StoredObject> get(String kind, String name);

  /**
   * Reads all objects of a kind.
   *
   * @param kind the kind
   * @return the objects
   */
  ObjectList list(String kind);

  /**
   * Waits for a write to any object of a kind.
   *
   * @param kind the kind
   * @param afterRevision the revision of the list that was read last
   * @param timeout the maximum time to wait
   * @return all objects of the kind, or empty if none was written within the time
   */
  Optional<ObjectList> watch(String kind, long afterRevision, Duration timeout);

  /**
   * Writes an object if its current version is the expected one.
   *
   * @param kind the object's kind
   * @param name the object's name
   * @param expectedVersion the expected version, or 0 if the object must not exist
   * @param value the new text
   * @return the new version
   * @throws StoreException with code {@code VERSION_CONFLICT} or {@code STORE_UNAVAILABLE} if the
   *     write had no effect, or {@code WRITE_UNDECIDED} if it may have had
   */
  long put(String kind, String name, long expectedVersion, String value);

  /**
   * Returns the platform's list of hosts, which may be out of date.
   *
   * @return the names of the agents and entries on listed hosts, with their state
   */
  List<ListedHost> hosts();
}
