package org.wigeonstage.ledger;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import org.wigeonstage.request.RequestId;

/** The requests that must not be dispatched if a late offer of them arrives. */
final class Tombstones {

  private record Mark(RequestId id, Instant expiry) {}

  private final int capacity;
  private final Set<RequestId> ids = new HashSet<>();
  private final Deque<Mark> marks = new ArrayDeque<>();

  Tombstones(int capacity) {
    this.capacity = capacity;
  }

  /** Adds a request; returns false where there is no room, and then nothing may be promised. */
  boolean add(RequestId id, Instant expiry) {
    if (ids.contains(id)) {
      return true;
    }
    if (ids.size() >= capacity) {
      return false;
    }
    ids.add(id);
    marks.addLast(new Mark(id, expiry));
    return true;
  }

  boolean contains(RequestId id) {
    return ids.contains(id);
  }

  void removeExpired(Instant now) {
    while (!marks.isEmpty() && marks.getFirst().expiry().isBefore(now)) {
      ids.remove(marks.removeFirst().id());
    }
  }

  int size() {
    return ids.size();
  }
}
