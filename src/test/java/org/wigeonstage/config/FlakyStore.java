package org.wigeonstage.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.store.ListedHost;
import org.wigeonstage.store.ObjectList;
import org.wigeonstage.store.ObjectStore;
import org.wigeonstage.store.StoreException;
import org.wigeonstage.store.StoredObject;

/**
 * One object with conditional writes, whose calls fail now and then: refused, done with the answer
 * lost, or done later than the answer's loss.
 */
final class FlakyStore implements ObjectStore {

  private record Delayed(long expectedVersion, String value) {}

  private final SplittableRandom random;
  private final double faultRate;
  private final List<StoredObject> versions = new ArrayList<>();
  private final List<Delayed> delayed = new ArrayList<>();
  private boolean outage;

  FlakyStore(long seed, double faultRate) {
    this.random = new SplittableRandom(seed);
    this.faultRate = faultRate;
  }

  /** Returns every version that the object ever had. */
  synchronized List<StoredObject> versions() {
    return List.copyOf(versions);
  }

  synchronized void outage(boolean value) {
    outage = value;
  }

  private long currentVersion() {
    return versions.size();
  }

  @Override
  public synchronized Optional<StoredObject> get(String kind, String name) {
    applyDelayed();
    failSometimes();
    return versions.isEmpty() ? Optional.empty() : Optional.of(versions.get(versions.size() - 1));
  }

  @Override
  public synchronized long put(String kind, String name, long expectedVersion, String value) {
    applyDelayed();
    failSometimes();
    if (random.nextDouble() < faultRate) {
      delayed.add(new Delayed(expectedVersion, value));
      throw new StoreException(ErrorCode.WRITE_UNDECIDED, "answer lost before effect", null);
    }
    boolean written = write(expectedVersion, value);
    if (random.nextDouble() < faultRate) {
      throw new StoreException(ErrorCode.WRITE_UNDECIDED, "answer lost", null);
    }
    if (!written) {
      throw new StoreException(ErrorCode.VERSION_CONFLICT, "another version", null);
    }
    return currentVersion();
  }

  private boolean write(long expectedVersion, String value) {
    if (expectedVersion != currentVersion()) {
      return false;
    }
    versions.add(new StoredObject("current", currentVersion() + 1, value));
    return true;
  }

  private void applyDelayed() {
    if (!delayed.isEmpty() && random.nextInt(4) == 0) {
      Delayed late = delayed.remove(random.nextInt(delayed.size()));
      write(late.expectedVersion(), late.value());
    }
  }

  private void failSometimes() {
    if (outage || random.nextDouble() < faultRate) {
      throw new StoreException(ErrorCode.STORE_UNAVAILABLE, "refused", null);
    }
  }

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
