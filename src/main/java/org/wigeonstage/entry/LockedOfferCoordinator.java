package org.wigeonstage.entry;

import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;
import org.wigeonstage.offer.OfferCoordinator;
import org.wigeonstage.offer.PoolDirectory;

/** Guards an {@link OfferCoordinator} and its directory with a lock, for use by several threads. */
final class LockedOfferCoordinator {

  private final ReentrantLock lock = new ReentrantLock();
  private final OfferCoordinator coordinator;
  private final PoolDirectory directory;

  LockedOfferCoordinator(OfferCoordinator coordinator, PoolDirectory directory) {
    this.coordinator = coordinator;
    this.directory = directory;
  }

  void run(BiConsumer<OfferCoordinator, PoolDirectory> action) {
    lock.lock();
    try {
      action.accept(coordinator, directory);
    } finally {
      lock.unlock();
    }
  }

  <T> T get(BiFunction<OfferCoordinator, PoolDirectory, T> query) {
    lock.lock();
    try {
      return query.apply(coordinator, directory);
    } finally {
      lock.unlock();
    }
  }
}
