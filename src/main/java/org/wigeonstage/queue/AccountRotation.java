package org.wigeonstage.queue;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.TreeMap;

/**
 * The waiting requests of one tier: first in, first out for each client account, and the accounts
 * in turn.
 */
final class AccountRotation {

  /** Accounts in the order of their turn; the slots of each by sequence. */
  private final LinkedHashMap<String, TreeMap<Long, Slot>> accounts = new LinkedHashMap<>();

  void add(Slot slot) {
    accounts
        .computeIfAbsent(slot.request().account(), name -> new TreeMap<>())
        .put(slot.sequence(), slot);
  }

  Slot peek() {
    return accounts.values().iterator().next().firstEntry().getValue();
  }

  /** Removes a slot; the account's turn passes where the slot was next in line. */
  void remove(Slot slot) {
    String account = slot.request().account();
    boolean wasNext = peek().sequence() == slot.sequence();
    TreeMap<Long, Slot> slots = accounts.get(account);
    if (slots == null || slots.remove(slot.sequence()) == null) {
      throw new IllegalStateException("request " + slot.request().id() + " does not wait");
    }
    if (slots.isEmpty()) {
      accounts.remove(account);
    } else if (wasNext) {
      accounts.remove(account);
      accounts.put(account, slots);
    }
  }

  /** Returns the newest slot of the account with the most slots. */
  Slot newestOfLongest() {
    return accounts.values().stream()
        .max(Comparator.comparingInt(TreeMap::size))
        .orElseThrow()
        .lastEntry()
        .getValue();
  }

  int size() {
    return accounts.values().stream().mapToInt(TreeMap::size).sum();
  }

  boolean isEmpty() {
    return accounts.isEmpty();
  }
}
