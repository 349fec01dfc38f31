package org.wigeonstage.agent;

import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.Function;
import org.wigeonstage.ledger.RequestLedger;

/** Makes a {@link RequestLedger} safe for use by several threads, with a lock. */
final class LockedLedger {

  private final ReentrantLock lock = new ReentrantLock();
  private final RequestLedger ledger;

  LockedLedger(RequestLedger ledger) {
    this.ledger = ledger;
  }

  void run(Consumer<RequestLedger> action) {
    lock.lock();
    try {
      action.accept(ledger);
    } finally {
      lock.unlock();
    }
  }

  <T> T get(Function<RequestLedger, T> query) {
    lock.lock();
    try {
      return query.apply(ledger);
    } finally {
      lock.unlock();
    }
  }
}
