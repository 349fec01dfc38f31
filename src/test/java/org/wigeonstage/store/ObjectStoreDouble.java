package org.wigeonstage.store;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** A store for tests that read and write single objects only. */
public abstract class ObjectStoreDouble implements ObjectStore {

  @Override
  public ObjectList list(String kind) {
    throw new UnsupportedOperationException();
  }

  @Override
  public Optional<ObjectList> watch(String kind, long afterRevision, Duration timeout) {
    throw new UnsupportedOperationException();
  }

  @Override
  public List<ListedHost> hosts() {
    return List.of();
  }
}
