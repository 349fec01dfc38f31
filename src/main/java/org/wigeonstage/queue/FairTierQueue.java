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

/**
 * A {@link TierQueue} that serves the client accounts of a tier round-robin. A full queue displaces
 * the newest request of the account with the most requests in the lowest tier.
 */
public final class FairTierQueue implements TierQueue {

  private final int capacity;
  private final TreeMap<Tier, AccountRotation> rotations = new TreeMap<>();
  private final Map<RequestId, QueueEntry> entries = new HashMap<>();
  private final TreeSet<QueueEntry> entriesByLatestStart =
      new TreeSet<>(QueueEntry.BY_LATEST_START);
  private long nextSequence;
  private long work;

  /**
   * Creates an empty queue.
   *
   * @param capacity the maximum number of waiting requests
   */
  public FairTierQueue(int capacity) {
    checkArgument(capacity > 0, "capacity must be positive, was %s", capacity);
    this.capacity = capacity;
  }

  @Override
  public EnqueueResult add(WaitingRequest request) {
    checkArgument(
        !entries.containsKey(request.id()), "request %s is already in the queue", request.id());
    if (entries.size() < capacity) {
      insert(request);
      return EnqueueResult.ACCEPTED;
    }
    Tier lowest = rotations.lastKey();
    if (!request.tier().isAbove(lowest)) {
      return EnqueueResult.REFUSED;
    }
    WaitingRequest displaced = rotation(lowest).newestOfLargestAccount().request();
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
    QueueEntry entry = entries.remove(id);
    if (entry == null) {
      return false;
    }
    WaitingRequest request = entry.request();
    entriesByLatestStart.remove(entry);
    AccountRotation rotation = rotation(request.tier());
    rotation.remove(entry);
    if (rotation.isEmpty()) {
      rotations.remove(request.tier());
    }
    work -= request.cost().work();
    return true;
  }

  @Override
  public void raiseTier(RequestId id, Tier tier) {
    QueueEntry entry = entries.get(id);
    if (entry == null) {
      throw new IllegalArgumentException("request " + id + " is not in the queue");
    }
    remove(id);
    insert(entry.request().withTier(tier));
  }

  @Override
  public List<WaitingRequest> removeExpired(Instant now) {
    List<WaitingRequest> expired = new ArrayList<>();
    while (!entriesByLatestStart.isEmpty()
        && entriesByLatestStart.first().request().startBy().isBefore(now)) {
      WaitingRequest request = entriesByLatestStart.first().request();
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
    return entries.size();
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
    QueueEntry entry = new QueueEntry(nextSequence++, request);
    entries.put(request.id(), entry);
    entriesByLatestStart.add(entry);
    rotations.computeIfAbsent(request.tier(), tier -> new AccountRotation()).add(entry);
    work += request.cost().work();
  }

  private AccountRotation rotation(Tier tier) {
    AccountRotation rotation = rotations.get(tier);
    if (rotation == null) {
      throw new IllegalStateException("the queue has no request of tier " + tier.rank());
    }
    return rotation;
  }
}
