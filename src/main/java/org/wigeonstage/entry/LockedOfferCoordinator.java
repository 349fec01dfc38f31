package org.wigeonstage.entry;

import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;
import org.wigeonstage.dispatch.PoolDirectory;
import org.wigeonstage.dispatch.RequestDispatcher;

/** Guards a {@link RequestDispatcher} and its directory with a lock, for use by several threads. */
final class LockedOfferCoordinator {

  private final ReentrantLock lock = new ReentrantLock();
  private final RequestDispatcher dispatcher;
  private final PoolDirectory directory;

  LockedOfferCoordinator(RequestDispatcher dispatcher, PoolDirectory directory) {
    this.dispatcher = dispatcher;
    this.directory = directory;
  }

  void run(BiConsumer<RequestDispatcher, PoolDirectory> action) {
    lock.lock();
    try {
      action.accept(dispatcher, directory);
    } finally {
      lock.unlock();
    }
  }

  <T> T get(BiFunction<RequestDispatcher, PoolDirectory, T> query) {
    lock.lock();
    try {
      return query.apply(dispatcher, directory);
    } finally {
      lock.unlock();
    }
  }
}
