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
 * Bounds how many agents of a pool load from the weight store at once, through one object of the
 * platform with conditional updates. Methods block.
 */
public final class LoadSlots {

  /** The kind of the objects that hold slots. */
  public static final String KIND = "load-slots";

  private static final Duration SLOT_LIFETIME = Duration.ofMinutes(10);

  /** A taken slot. */
  private record Slot(String agent, long untilMillis) {}

  /** The value of the object. */
  private record Slots(List<Slot> taken) {}

  private final ObjectStore store;
  private final InstantSource clock;
  private long version;

  /**
   * Creates access to slots.
   *
   * @param store the platform's object API
   * @param clock the wall clock
   */
  public LoadSlots(ObjectStore store, InstantSource clock) {
    this.store = store;
    this.clock = clock;
  }

  /**
   * Takes a slot, which ends by itself after some minutes.
   *
   * @param pool the pool's name
   * @param agent the agent's name
   * @param limit the most slots at once
   * @return whether the agent has a slot now
   */
  public boolean tryTake(String pool, String agent, int limit) {
    List<Slot> others = others(pool, agent);
    if (others.size() >= limit) {
      return false;
    }
    Instant until = clock.instant().plus(SLOT_LIFETIME);
    others.add(new Slot(agent, until.toEpochMilli()));
    return write(pool, others);
  }

  /**
   * Gives a slot back.
   *
   * @param pool the pool's name
   * @param agent the agent's name
   */
  public void release(String pool, String agent) {
    write(pool, others(pool, agent));
  }

  private List<Slot> others(String pool, String agent) {
    Optional<StoredObject> object = store.get(KIND, pool);
    version = object.map(StoredObject::version).orElse(0L);
    long now = clock.millis();
    return new ArrayList<>(
        object
            .map(stored -> Json.read(stored.value(), Slots.class).taken())
            .orElse(List.of())
            .stream()
            .filter(slot -> slot.untilMillis() > now && !slot.agent().equals(agent))
            .toList());
  }

  /** Writes the slots; a lost race or answer counts as not taken. */
  private boolean write(String pool, List<Slot> slots) {
    try {
      store.put(KIND, pool, version, Json.write(new Slots(slots)));
      return true;
    } catch (StoreException e) {
      if (e.code() == ErrorCode.STORE_UNAVAILABLE) {
        throw e;
      }
      return false;
    }
  }
}
