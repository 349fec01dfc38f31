package org.wigeonstage.queue;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.TreeMap;

/**
 * The waiting requests of one tier. The client accounts are served round-robin, and the requests of
 * each account first in, first out.
 */
final class AccountRotation {

  /** The accounts in the order of their turns, each with its entries by sequence number. */
  private final LinkedHashMap<String, TreeMap<Long, QueueEntry>> entriesByAccount =
      new LinkedHashMap<>();

  void add(QueueEntry entry) {
    entriesByAccount
        .computeIfAbsent(entry.request().account(), name -> new TreeMap<>())
        .put(entry.sequence(), entry);
  }

  QueueEntry peek() {
    return entriesByAccount.values().iterator().next().firstEntry().getValue();
  }

  /** Removes an entry. If it was next in turn, its account moves to the end of the rotation. */
  void remove(QueueEntry entry) {
    String account = entry.request().account();
    boolean wasNext = peek().sequence() == entry.sequence();
    TreeMap<Long, QueueEntry> entries = entriesByAccount.get(account);
    if (entries == null || entries.remove(entry.sequence()) == null) {
      throw new IllegalStateException("request " + entry.request().id() + " is not in the queue");
    }
    if (entries.isEmpty()) {
      entriesByAccount.remove(account);
    } else if (wasNext) {
      entriesByAccount.remove(account);
      entriesByAccount.put(account, entries);
    }
  }

  /** Returns the newest entry of the account with the most entries. */
  QueueEntry newestOfLargestAccount() {
    return entriesByAccount.values().stream()
        .max(Comparator.comparingInt(TreeMap::size))
        .orElseThrow()
        .lastEntry()
        .getValue();
  }

  int size() {
    return entriesByAccount.values().stream().mapToInt(TreeMap::size).sum();
  }

  boolean isEmpty() {
    return entriesByAccount.isEmpty();
  }
}
