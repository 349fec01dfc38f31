package org.wigeonstage.load;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.wigeonstage.http.Endpoint;

/** Chooses entries round-robin, as the platform's load balancer does. */
final class Balancer {

  private final List<Endpoint> entries;
  private final AtomicInteger next = new AtomicInteger();

  Balancer(List<Endpoint> entries) {
    this.entries = List.copyOf(entries);
  }

  /** Returns the entry after the one that was returned last. */
  Endpoint next() {
    return entries.get(Math.floorMod(next.getAndIncrement(), entries.size()));
  }

  int size() {
    return entries.size();
  }
}
