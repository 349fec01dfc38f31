package org.wigeonstage.orders;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.Json;
import org.wigeonstage.store.ObjectStore;
import org.wigeonstage.store.StoreException;
import org.wigeonstage.store.StoredObject;

/**
 * A distributed semaphore that limits how many agents of a pool load from the weight store, which
 * holds the weights of the models, at the same time.
 *
 * <p>The slots of a pool are one object in the object store, updated conditionally. The methods
 * block, and throw {@link StoreException} if the store is unavailable. Not thread-safe.
 */
public final class LoadSlots {

  /** The kind of the objects that hold the slots. */
  public static final String KIND = "load-slots";

  private static final Duration SLOT_LIFETIME = Duration.ofMinutes(10);

  /** An acquired slot. */
  private record Slot(String agent, long untilMillis) {}

  /** The JSON value of the object. */
  private record Slots(List<Slot> taken) {}

  private final ObjectStore store;
  private final InstantSource clock;

  /** The version of the object as it was last read; a write fails if the object has changed. */
  private long objectVersion;

  /**
   * Creates a semaphore.
   *
   * @param store the object store of the platform
   * @param clock the wall clock
   */
  public LoadSlots(ObjectStore store, InstantSource clock) {
    this.store = store;
    this.clock = clock;
  }

  /**
   * Acquires a slot, which expires after 10 minutes if it is not released.
   *
   * @param pool the name of the pool
   * @param agent the name of the agent
   * @param limit the maximum number of acquired slots
   * @return whether the agent holds a slot now
   * @throws StoreException if the store is unavailable
   */
  public boolean tryAcquire(String pool, String agent, int limit) {
    List<Slot> slots = readSlotsOfOtherAgents(pool, agent);
    if (slots.size() >= limit) {
      return false;
    }
    Instant expiry = clock.instant().plus(SLOT_LIFETIME);
    slots.add(new Slot(agent, expiry.toEpochMilli()));
    return tryWrite(pool, slots);
  }

  /**
   * Releases the slot of an agent. If the slots are changed concurrently, the slot remains acquired
   * until it expires.
   *
   * @param pool the name of the pool
   * @param agent the name of the agent
   * @throws StoreException if the store is unavailable
   */
  public void release(String pool, String agent) {
    tryWrite(pool, readSlotsOfOtherAgents(pool, agent));
  }

  private List<Slot> readSlotsOfOtherAgents(String pool, String agent) {
    Optional<StoredObject> object = store.get(KIND, pool);
    objectVersion = object.map(StoredObject::version).orElse(0L);
    long nowMillis = clock.millis();
    return new ArrayList<>(
        object
            .map(stored -> Json.read(stored.value(), Slots.class).taken())
            .orElse(List.of())
            .stream()
            .filter(slot -> slot.untilMillis() > nowMillis && !slot.agent().equals(agent))
            .toList());
  }

  /** Writes the slots; returns false after a version conflict or if the reply was lost. */
  private boolean tryWrite(String pool, List<Slot> slots) {
    try {
      store.put(KIND, pool, objectVersion, Json.write(new Slots(slots)));
      return true;
    } catch (StoreException e) {
      if (e.code() == ErrorCode.STORE_UNAVAILABLE) {
        throw e;
      }
      return false;
    }
  }
}
