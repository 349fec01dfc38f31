package org.wigeonstage.crash;

import java.time.Duration;
import java.util.Set;

/**
 * The hold on requests whose prompts have all of the given parts.
 *
 * @param parts the parts; several only if they always occurred together, so that it is unknown
 *     which of them crashes servers
 * @param pools the pools of the servers that crashed
 * @param crashIds the crashes that the parts explain
 * @param occasions the number of these crashes, of which simultaneous ones count once
 * @param lastCrashAt the time of the latest of them
 * @param failedTrials how many of them followed a trial
 */
public record PartHold(
    Set<String> parts,
    Set<String> pools,
    Set<String> crashIds,
    int occasions,
    Duration lastCrashAt,
    int failedTrials) {

  /** Copies the collections. */
  public PartHold {
    parts = Set.copyOf(parts);
    pools = Set.copyOf(pools);
    crashIds = Set.copyOf(crashIds);
  }

  /** Returns whether another hold on the same parts rests on the same number of crashes. */
  boolean hasSameEvidence(PartHold other) {
    return occasions == other.occasions
        && failedTrials == other.failedTrials
        && crashIds.size() == other.crashIds.size()
        && lastCrashAt.equals(other.lastCrashAt);
  }
}
