package org.wigeonstage.store;

import java.util.List;

/**
 * All objects of a kind at one revision.
 *
 * @param revision the revision, which increases with each write to an object of the kind
 * @param objects the objects
 */
public record ObjectList(long revision, List<StoredObject> objects) {

  /** Copies the list. */
  public ObjectList {
    objects = List.copyOf(objects);
  }
}
