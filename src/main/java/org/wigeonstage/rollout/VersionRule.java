package org.wigeonstage.rollout;

import java.util.Set;

/**
 * Which versions may get requests.
 *
 * @param mode how requests are divided between the target version and others
 * @param target the target version of the latest order, or empty if there is none
 * @param share the share of the requests that the target version gets in mode {@link Mode#SHARE}
 * @param excluded other versions that get no requests, because an earlier order for them was rolled
 *     back or replaced before its end
 */
public record VersionRule(Mode mode, String target, double share, Set<String> excluded) {

  /** All servers may get requests. */
  public static final VersionRule OPEN = new VersionRule(Mode.OPEN, "", 0, Set.of());

  /** How requests are divided. */
  public enum Mode {
    /** All servers may get requests. */
    OPEN,
    /** The target version gets a share. */
    SHARE,
    /** Only the target version gets requests. */
    TARGET_ONLY,
    /** The target version gets none. */
    NO_TARGET
  }

  /** Copies the set. */
  public VersionRule {
    excluded = Set.copyOf(excluded);
  }
}
