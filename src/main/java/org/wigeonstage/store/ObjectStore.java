package org.wigeonstage.store;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * The platform's object API. Methods block, and throw a {@link StoreException} where the platform
 * can't be reached or refuses a call.
 */
public interface ObjectStore {

  /**
   * Reads an object.
   *
   * @param kind the object's kind
   * @param name the object's name
   * @return the object, or empty where there is none
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
   * Waits for a write to an object of a kind.
   *
   * @param kind the kind
   * @param afterRevision the revision that the caller has seen
   * @param timeout how long to wait
   * @return the objects where there was a write, or empty
   */
  Optional<ObjectList> watch(String kind, long afterRevision, Duration timeout);

  /**
   * Writes an object if its version is the expected one.
   *
   * @param kind the object's kind
   * @param name the object's name
   * @param expectedVersion the version that the object must have; 0 where it must not exist
   * @param value the new text
   * @return the new version
   * @throws StoreException with code {@code VERSION_CONFLICT}, {@code STORE_UNAVAILABLE} where the
   *     write has not taken effect, or {@code WRITE_UNDECIDED} where it may have
   */
  long put(String kind, String name, long expectedVersion, String value);

  /**
   * Returns the platform's list of hosts, which lags behind the truth.
   *
   * @return the names of agents and entries whose hosts are listed, with their state
   */
  List<ListedHost> hosts();
}
