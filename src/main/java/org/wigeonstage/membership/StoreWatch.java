package org.wigeonstage.membership;

import com.codahale.metrics.Counter;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.store.ObjectList;
import org.wigeonstage.store.ObjectStore;

/** Follows all objects of a kind in a thread of its own, with one waiting call at a time. */
public final class StoreWatch implements Runnable {

  private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(20);
  private static final long RETRY_MILLIS = 1000;

  private final ObjectStore store;
  private final String kind;
  private final Consumer<ObjectList> listener;
  private final Counter failures;

  /**
   * Creates a watch.
   *
   * @param store the platform's object API
   * @param kind the kind of objects to follow
   * @param listener takes all objects after each write to one of them
   * @param failures counts failed calls
   */
  public StoreWatch(
      ObjectStore store, String kind, Consumer<ObjectList> listener, Counter failures) {
    this.store = store;
    this.kind = kind;
    this.listener = listener;
    this.failures = failures;
  }

  /**
   * Starts following.
   *
   * @return the thread, which ends when it is interrupted
   */
  public Thread start() {
    Thread thread = new Thread(this, "watch-" + kind);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  @Override
  public void run() {
    long revision = -1;
    while (!Thread.currentThread().isInterrupted()) {
      try {
        revision = follow(revision);
      } catch (WigeonstageException e) {
        failures.inc();
        revision = -1;
        pause();
      }
    }
  }

  private long follow(long revision) {
    if (revision < 0) {
      ObjectList all = store.list(kind);
      listener.accept(all);
      return all.revision();
    }
    Optional<ObjectList> changed = store.watch(kind, revision, WATCH_TIMEOUT);
    changed.ifPresent(listener);
    return changed.map(ObjectList::revision).orElse(revision);
  }

  private static void pause() {
    try {
      Thread.sleep(RETRY_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
