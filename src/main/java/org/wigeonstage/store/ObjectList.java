package org.wigeonstage.store;

import java.util.List;

/**
 * All objects of a kind at one moment.
 *
 * @param revision a number that grows with each write to an object of the kind
 * @param objects the objects
 */
public record ObjectList(long revision, List<StoredObject> objects) {

  /** Makes the list immutable. */
  public ObjectList {
    objects = List.copyOf(objects);
  }
}
