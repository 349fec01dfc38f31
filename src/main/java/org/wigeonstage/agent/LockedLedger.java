package org.wigeonstage.agent;

import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.Function;
import org.wigeonstage.ledger.RequestLedger;

/** Lets several threads use one {@link RequestLedger} in turn. */
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

  <T> T get(Function<RequestLedger, T> question) {
    lock.lock();
    try {
      return question.apply(ledger);
    } finally {
      lock.unlock();
    }
  }
}
