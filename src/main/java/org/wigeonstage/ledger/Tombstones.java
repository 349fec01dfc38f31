package org.wigeonstage.ledger;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import org.wigeonstage.request.RequestId;

/** The requests that must be refused if an offer of them arrives later. */
final class Tombstones {

  private record Tombstone(RequestId id, Instant expiry) {}

  private final int capacity;
  private final Set<RequestId> ids = new HashSet<>();
  private final Deque<Tombstone> tombstones = new ArrayDeque<>();

  Tombstones(int capacity) {
    this.capacity = capacity;
  }

  /**
   * Adds a tombstone for a request. Returns false if the maximum number of tombstones is reached;
   * in this case the entry must not be told that the request will never be dispatched.
   */
  boolean add(RequestId id, Instant expiry) {
    if (ids.contains(id)) {
      return true;
    }
    if (ids.size() >= capacity) {
      return false;
    }
    ids.add(id);
    tombstones.addLast(new Tombstone(id, expiry));
    return true;
  }

  boolean contains(RequestId id) {
    return ids.contains(id);
  }

  /** Removes expired tombstones, oldest first, up to the first one that has not expired. */
  void removeExpired(Instant now) {
    while (!tombstones.isEmpty() && tombstones.getFirst().expiry().isBefore(now)) {
      ids.remove(tombstones.removeFirst().id());
    }
  }

  int size() {
    return ids.size();
  }
}
