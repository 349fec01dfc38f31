package org.wigeonstage.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.store.ObjectStoreDouble;
import org.wigeonstage.store.StoreException;
import org.wigeonstage.store.StoredObject;

/**
 * A store of one object with conditional writes, whose calls fail at random. A call may be refused,
 * a write may take effect but lose its response, and a write may take effect only after its
 * response was lost.
 */
final class FlakyStore extends ObjectStoreDouble {

  private record DelayedWrite(long expectedVersion, String value) {}

  private final SplittableRandom random;
  private final double faultRate;
  private final List<StoredObject> versions = new ArrayList<>();
  private final List<DelayedWrite> delayedWrites = new ArrayList<>();
  private boolean outage;

  FlakyStore(long seed, double faultRate) {
    this.random = new SplittableRandom(seed);
    this.faultRate = faultRate;
  }

  /** Returns all versions of the object, oldest first. */
  synchronized List<StoredObject> versions() {
    return List.copyOf(versions);
  }

  synchronized void setOutage(boolean value) {
    outage = value;
  }

  private long currentVersion() {
    return versions.size();
  }

  @Override
  public synchronized Optional<StoredObject> get(String kind, String name) {
    applyDelayedWrite();
    failAtRandom();
    return versions.isEmpty() ? Optional.empty() : Optional.of(versions.get(versions.size() - 1));
  }

  @Override
  public synchronized long put(String kind, String name, long expectedVersion, String value) {
    applyDelayedWrite();
    failAtRandom();
    if (random.nextDouble() < faultRate) {
      delayedWrites.add(new DelayedWrite(expectedVersion, value));
      throw new StoreException(ErrorCode.WRITE_UNDECIDED, "response lost before the write", null);
    }
    boolean written = write(expectedVersion, value);
    if (random.nextDouble() < faultRate) {
      throw new StoreException(ErrorCode.WRITE_UNDECIDED, "response lost after the write", null);
    }
    if (!written) {
      throw new StoreException(ErrorCode.VERSION_CONFLICT, "the object has another version", null);
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

  private void applyDelayedWrite() {
    if (!delayedWrites.isEmpty() && random.nextInt(4) == 0) {
      DelayedWrite delayed = delayedWrites.remove(random.nextInt(delayedWrites.size()));
      write(delayed.expectedVersion(), delayed.value());
    }
  }

  private void failAtRandom() {
    if (outage || random.nextDouble() < faultRate) {
      throw new StoreException(ErrorCode.STORE_UNAVAILABLE, "refused", null);
    }
  }
}
