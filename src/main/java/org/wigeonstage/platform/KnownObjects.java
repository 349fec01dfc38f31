package org.wigeonstage.platform;

import java.util.Map;

/**
 * Objects that were read before. In the same era of the store, one with the same revision has not
 * changed and need not be decoded again.
 *
 * @param era the era in which they were read, or 0 if the store states none
 * @param byName the objects
 */
record KnownObjects(long era, Map<String, StoreObject> byName) {

  static final KnownObjects NONE = new KnownObjects(0, Map.of());

  /**
   * Returns the objects that may be used in an era. A store that states none may have been restored
   * unnoticed, and assigns revisions again.
   */
  Map<String, StoreObject> inEra(long currentEra) {
    return era > 0 && era == currentEra ? byName : Map.of();
  }
}
