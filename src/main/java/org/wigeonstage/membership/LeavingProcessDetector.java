package org.wigeonstage.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.wigeonstage.store.ListedHost;

/**
 * Detects, from the host list of the platform, which processes may be leaving.
 *
 * <p>The list lags behind the actual state. A process is suspected to be leaving if it is listed as
 * leaving, or was listed before and is missing now. A process that was never listed is not
 * suspected to be leaving, because the list may not contain it yet.
 */
public final class LeavingProcessDetector {

  private final Set<String> everListed = new HashSet<>();

  /**
   * Processes the current host list. Each host is listed under the name of the process that runs on
   * it.
   *
   * @param hosts the list
   * @return the names of the processes that are suspected to be leaving
   */
  public synchronized Set<String> update(List<ListedHost> hosts) {
    Set<String> staying = new HashSet<>();
    for (ListedHost host : hosts) {
      everListed.add(host.name());
      if (!host.leaving()) {
        staying.add(host.name());
      }
    }
    Set<String> suspectedLeaving = new HashSet<>(everListed);
    suspectedLeaving.removeAll(staying);
    return suspectedLeaving;
  }
}
