package org.wigeonstage.crash;

import java.time.Duration;
import java.util.List;
import java.util.Set;

/**
 * What a gateway knows about a crash, as it is sent to other gateways.
 *
 * @param crashId identifies the crash: the run of the server, and a number if several ends of that
 *     run were suspected
 * @param pool the pool of the server
 * @param age the time since the crash
 * @param isRefuted whether the server has sent something since
 * @param isTrial whether a request that was sent as a trial was interrupted
 * @param victims for each interrupted request, the shared parts of its prompt
 * @param cleared the parts of the victims that did not cause the crash
 */
public record CrashReport(
    String crashId,
    String pool,
    Duration age,
    boolean isRefuted,
    boolean isTrial,
    List<List<String>> victims,
    Set<String> cleared) {

  /** Copies the collections. */
  public CrashReport {
    victims = victims.stream().map(List::copyOf).toList();
    cleared = Set.copyOf(cleared);
  }
}
