package org.wigeonstage.queue;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.wigeonstage.request.RequestId;
import org.wigeonstage.request.Tier;

/** A {@link TierQueue} that serves the client accounts of a tier in turn. */
public final class FairTierQueue implements TierQueue {

  private final int capacity;
  private final TreeMap<Tier, AccountRotation> rotations = new TreeMap<>();
  private final Map<RequestId, Slot> slots = new HashMap<>();
  private final TreeSet<Slot> byDeadline = new TreeSet<>(Slot.BY_DEADLINE);
  private long nextSequence;
  private long work;

  /**
   * Creates an empty queue.
   *
   * @param capacity the most requests that may wait
   */
  public FairTierQueue(int capacity) {
    checkArgument(capacity > 0, "capacity must be positive, was %s", capacity);
    this.capacity = capacity;
  }

  @Override
  public EnqueueResult add(WaitingRequest request) {
    checkArgument(!slots.containsKey(request.id()), "request %s waits already", request.id());
    if (slots.size() < capacity) {
      insert(request);
      return EnqueueResult.ADMITTED;
    }
    Tier lowest = rotations.lastKey();
    if (!request.tier().isAbove(lowest)) {
      return EnqueueResult.REFUSED;
    }
    WaitingRequest displaced = rotation(lowest).newestOfLongest().request();
    remove(displaced.id());
    insert(request);
    return EnqueueResult.displacing(displaced);
  }

  @Override
  public Optional<WaitingRequest> peek() {
    return rotations.isEmpty()
        ? Optional.empty()
        : Optional.of(rotations.firstEntry().getValue().peek().request());
  }

  @Override
  public boolean remove(RequestId id) {
    Slot slot = slots.remove(id);
    if (slot == null) {
      return false;
    }
    WaitingRequest request = slot.request();
    byDeadline.remove(slot);
    AccountRotation rotation = rotation(request.tier());
    rotation.remove(slot);
    if (rotation.isEmpty()) {
      rotations.remove(request.tier());
    }
    work -= request.cost().work();
    return true;
  }

  @Override
  public void raiseTier(RequestId id, Tier tier) {
    Slot slot = slots.get(id);
    if (slot == null) {
      throw new IllegalArgumentException("request " + id + " does not wait");
    }
    remove(id);
    insert(slot.request().withTier(tier));
  }

  @Override
  public List<WaitingRequest> removeExpired(Instant now) {
    List<WaitingRequest> expired = new ArrayList<>();
    while (!byDeadline.isEmpty() && byDeadline.first().request().startBy().isBefore(now)) {
      WaitingRequest request = byDeadline.first().request();
      remove(request.id());
      expired.add(request);
    }
    return expired;
  }

  @Override
  public List<WaitingRequest> removeAll() {
    List<WaitingRequest> removed = new ArrayList<>();
    for (Optional<WaitingRequest> next = peek(); next.isPresent(); next = peek()) {
      remove(next.get().id());
      removed.add(next.get());
    }
    return removed;
  }

  @Override
  public int size() {
    return slots.size();
  }

  @Override
  public int sizeAtOrAbove(Tier tier) {
    return rotations.headMap(tier, true).values().stream().mapToInt(AccountRotation::size).sum();
  }

  @Override
  public long work() {
    return work;
  }

  @Override
  public Optional<Tier> lowestTier() {
    return rotations.isEmpty() ? Optional.empty() : Optional.of(rotations.lastKey());
  }

  private void insert(WaitingRequest request) {
    Slot slot = new Slot(nextSequence++, request);
    slots.put(request.id(), slot);
    byDeadline.add(slot);
    rotations.computeIfAbsent(request.tier(), tier -> new AccountRotation()).add(slot);
    work += request.cost().work();
  }

  private AccountRotation rotation(Tier tier) {
    AccountRotation rotation = rotations.get(tier);
    if (rotation == null) {
      throw new IllegalStateException("no request of tier " + tier.rank() + " waits");
    }
    return rotation;
  }
}
