package org.wigeonstage.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.wigeonstage.store.ListedHost;

/**
 * Reads the platform's lagging list of hosts with caution: a process is suspected to leave when the
 * list says so, or when it stood in the list and does not any more. A process that was never listed
 * is not suspected, because the list may not know it yet.
 */
public final class LeavingProcessDetector {

  private final Set<String> everListed = new HashSet<>();

  /**
   * Takes a new state of the list.
   *
   * @param hosts the list
   * @return the names of the processes that are suspected to leave
   */
  public synchronized Set<String> update(List<ListedHost> hosts) {
    Set<String> staying = new HashSet<>();
    for (ListedHost host : hosts) {
      everListed.add(host.name());
      if (!host.leaving()) {
        staying.add(host.name());
      }
    }
    Set<String> suspected = new HashSet<>(everListed);
    suspected.removeAll(staying);
    return suspected;
  }
}
