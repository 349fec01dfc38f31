package org.wigeonstage.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;

/** The requests that wait at this gateway, by urgency, and the numbers of those at peers. */
final class WaitingRequests {

  private final TreeMap<Urgency, List<PlacementRequest>> queues = new TreeMap<>();
  private NavigableMap<Urgency, Integer> atPeers = new TreeMap<>();
  private Set<String> accountsOverShare = Set.of();

  /** Returns the queue of an urgency, to which requests can be added. */
  List<PlacementRequest> queue(Urgency urgency) {
    return queues.computeIfAbsent(urgency, key -> new ArrayList<>());
  }

  /** Replaces the accounts that use more than their fair share of the work. */
  void applyAccountsOverShare(Set<String> accounts) {
    accountsOverShare = Set.copyOf(accounts);
  }

  /** Returns whether the account of a request uses more than its fair share of the work. */
  boolean isOverShare(PlacementRequest request) {
    return accountsOverShare.contains(request.account());
  }

  /**
   * Adds a request before those of its urgency whose accounts are over their share while its own is
   * not, and those with a later deadline. A caller that returns after a refusal has less time left
   * than new ones, and so goes ahead of them.
   */
  void add(PlacementRequest request) {
    List<PlacementRequest> queue = queue(request.urgency());
    int index = queue.size();
    while (index > 0 && goesBefore(request, queue.get(index - 1))) {
      index--;
    }
    queue.add(index, request);
  }

  private boolean goesBefore(PlacementRequest request, PlacementRequest other) {
    return isOverShare(request) == isOverShare(other)
        ? request.deadline().compareTo(other.deadline()) < 0
        : isOverShare(other);
  }

  /** Lets all requests wait longer, because for a time this process could not start them. */
  void extendQueueTimes(Duration time) {
    for (List<PlacementRequest> queue : queues.values()) {
      queue.forEach(request -> request.extendQueueTime(time));
    }
  }

  /** Returns the queues, the most urgent first. */
  Map<Urgency, List<PlacementRequest>> queues() {
    return Collections.unmodifiableMap(queues);
  }

  void applyWaitingAtPeers(NavigableMap<Urgency, Integer> waiting) {
    atPeers = waiting;
  }

  int countAtPeers(Urgency urgency) {
    return atPeers.getOrDefault(urgency, 0);
  }

  int countMoreUrgentAtPeers(Urgency urgency) {
    return sum(atPeers.headMap(urgency, false).values());
  }

  int count() {
    return sum(countsByUrgency().values());
  }

  private static int sum(Collection<Integer> counts) {
    int total = 0;
    for (int count : counts) {
      total += count;
    }
    return total;
  }

  /** Returns how many requests of each urgency wait at this gateway, if any do. */
  Map<Urgency, Integer> countsByUrgency() {
    Map<Urgency, Integer> counts = new HashMap<>();
    queues.forEach(
        (urgency, queue) -> {
          if (!queue.isEmpty()) {
            counts.put(urgency, queue.size());
          }
        });
    return counts;
  }

  /** Returns whether more urgent requests wait at this gateway. */
  boolean isMoreUrgentWaiting(Urgency urgency) {
    return !queues.headMap(urgency, false).values().stream().allMatch(List::isEmpty);
  }

  /** Returns the route ranks of the more urgent requests that wait here or at peers. */
  Set<Integer> moreUrgentRouteRanks(Urgency urgency) {
    Map<Urgency, Integer> waiting = countsByUrgency();
    atPeers.forEach((key, count) -> waiting.merge(key, count, Integer::sum));
    Set<Integer> ranks = new HashSet<>();
    waiting.forEach(
        (key, count) -> {
          if (count > 0 && key.compareTo(urgency) < 0) {
            ranks.add(key.routeRank());
          }
        });
    return ranks;
  }

  /** Returns the first request whose first part would be on time, or else the head of the queue. */
  static PlacementRequest firstOnTime(List<PlacementRequest> queue, Duration firstPartAt) {
    for (PlacementRequest request : queue) {
      if (!request.isLate(firstPartAt)) {
        return request;
      }
    }
    return queue.get(0);
  }

  void remove(PlacementRequest request) {
    List<PlacementRequest> queue = queues.get(request.urgency());
    if (queue != null) {
      queue.remove(request);
    }
  }

  /** Removes and returns the requests that have waited for as long as they may. */
  List<PlacementRequest> removeExpired(Duration now) {
    List<PlacementRequest> expired = new ArrayList<>();
    for (List<PlacementRequest> queue : queues.values()) {
      Iterator<PlacementRequest> requests = queue.iterator();
      while (requests.hasNext()) {
        PlacementRequest request = requests.next();
        if (now.compareTo(request.waitsUntil()) >= 0) {
          requests.remove();
          expired.add(request);
        }
      }
    }
    return expired;
  }
}
