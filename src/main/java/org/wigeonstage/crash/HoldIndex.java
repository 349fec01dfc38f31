package org.wigeonstage.crash;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Finds the hold on a prompt in time that grows with the number of its parts only. Each part
 * belongs to one hold at most, so that a hold applies if as many parts of the prompt belong to it
 * as it has.
 */
final class HoldIndex {

  static final HoldIndex EMPTY = new HoldIndex(List.of());

  private final List<PartHold> holds;
  private final Map<String, Integer> positionByPart = new HashMap<>();

  /**
   * Creates an index.
   *
   * @param holds the holds, which have no part in common; earlier ones precede later ones
   */
  HoldIndex(List<PartHold> holds) {
    this.holds = List.copyOf(holds);
    for (int i = 0; i < holds.size(); i++) {
      for (String part : holds.get(i).parts()) {
        positionByPart.put(part, i);
      }
    }
  }

  /** Returns the holds by their parts. */
  Map<Set<String>, PartHold> byParts() {
    Map<Set<String>, PartHold> byParts = new HashMap<>();
    holds.forEach(hold -> byParts.put(hold.parts(), hold));
    return byParts;
  }

  boolean isEmpty() {
    return holds.isEmpty();
  }

  int size() {
    return holds.size();
  }

  /** Returns the first hold that applies to a request of the pool with the given prompt. */
  Optional<PartHold> find(Set<String> promptParts, String pool) {
    Map<Integer, Integer> matches = new HashMap<>();
    for (String part : promptParts) {
      Integer position = positionByPart.get(part);
      if (position != null) {
        matches.merge(position, 1, Integer::sum);
      }
    }
    List<Integer> complete = new ArrayList<>();
    matches.forEach(
        (position, count) -> {
          PartHold hold = holds.get(position);
          if (count == hold.parts().size() && hold.pools().contains(pool)) {
            complete.add(position);
          }
        });
    return complete.stream().min(Integer::compare).map(holds::get);
  }
}
