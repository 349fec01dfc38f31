package org.wigeonstage.fuzz;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.wigeonstage.queue.EnqueueResult;
import org.wigeonstage.queue.TierQueue;
import org.wigeonstage.queue.WaitingRequest;
import org.wigeonstage.request.RequestId;
import org.wigeonstage.request.Tier;

/** A queue that displaces the wrong requests, or none, when it is full. */
final class MutantQueue implements TierQueue {

  private final TierQueue queue;
  private final int capacity;
  private final Mutation mutation;

  MutantQueue(TierQueue queue, int capacity, Mutation mutation) {
    this.queue = queue;
    this.capacity = capacity;
    this.mutation = mutation;
  }

  @Override
  public EnqueueResult add(WaitingRequest request) {
    boolean full = queue.size() >= capacity;
    if (full && mutation == Mutation.NO_DISPLACEMENT) {
      return new EnqueueResult(false, null);
    }
    if (full && mutation == Mutation.HIGHEST_TIER_DISPLACED) {
      WaitingRequest displaced = queue.peek().orElseThrow();
      queue.remove(displaced.id());
      queue.add(request);
      return new EnqueueResult(true, displaced);
    }
    return queue.add(request);
  }

  @Override
  public Optional<WaitingRequest> peek() {
    return queue.peek();
  }

  @Override
  public boolean remove(RequestId id) {
    return queue.remove(id);
  }

  @Override
  public void raiseTier(RequestId id, Tier tier) {
    queue.raiseTier(id, tier);
  }

  @Override
  public List<WaitingRequest> removeExpired(Instant now) {
    return queue.removeExpired(now);
  }

  @Override
  public List<WaitingRequest> removeAll() {
    return queue.removeAll();
  }

  @Override
  public int size() {
    return queue.size();
  }

  @Override
  public int sizeAtOrAbove(Tier tier) {
    return queue.sizeAtOrAbove(tier);
  }

  @Override
  public long work() {
    return queue.work();
  }

  @Override
  public Optional<Tier> lowestTier() {
    return queue.lowestTier();
  }
}
