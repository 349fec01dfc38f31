package org.wigeonstage.membership;

import com.codahale.metrics.Counter;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wigeonstage.common.RepeatedTask;
import org.wigeonstage.common.WigeonstageException;
import org.wigeonstage.store.ObjectList;
import org.wigeonstage.store.ObjectStore;

/**
 * Watches all objects of a kind in the object store, with long polling in a separate thread. After
 * a failed call it reads all objects again.
 */
public final class StoreWatch implements Runnable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int LOG_INTERVAL_SECONDS = 10;
  private static final Duration POLL_TIMEOUT = Duration.ofSeconds(20);
  private static final long RETRY_DELAY_MILLIS = 1000;

  private final ObjectStore store;
  private final String kind;
  private final Consumer<ObjectList> listener;
  private final Counter failures;

  /**
   * Creates a watch.
   *
   * @param store the object store of the platform
   * @param kind the kind of the objects
   * @param listener receives all objects, first at the start and then after each change
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
   * Starts to watch.
   *
   * @return the watching thread, which ends when it is interrupted
   */
  public Thread start() {
    Thread thread = new Thread(this, "watch-" + kind);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  @Override
  public void run() {
    // A negative revision makes the next poll read all objects.
    long revision = -1;
    while (!Thread.currentThread().isInterrupted()) {
      revision = pollOrWait(revision);
    }
  }

  /** Returns the revision for the next poll, or a negative one after a failure and a delay. */
  private long pollOrWait(long revision) {
    long[] nextRevision = {-1};
    RepeatedTask.runPart("watch of " + kind, () -> nextRevision[0] = tryPoll(revision));
    if (nextRevision[0] < 0) {
      failures.inc();
      waitBeforeRetry();
    }
    return nextRevision[0];
  }

  private long tryPoll(long revision) {
    try {
      return poll(revision);
    } catch (WigeonstageException e) {
      logger.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
          "can't read %s from the object store: %s", kind, e.getMessage());
      return -1;
    }
  }

  private long poll(long revision) {
    if (revision < 0) {
      ObjectList all = store.list(kind);
      listener.accept(all);
      return all.revision();
    }
    Optional<ObjectList> changed = store.watch(kind, revision, POLL_TIMEOUT);
    changed.ifPresent(listener);
    return changed.map(ObjectList::revision).orElse(revision);
  }

  private static void waitBeforeRetry() {
    try {
      Thread.sleep(RETRY_DELAY_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
