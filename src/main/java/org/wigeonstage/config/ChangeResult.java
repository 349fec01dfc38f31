package org.wigeonstage.config;

import java.util.List;

/**
 * The result of a submitted change.
 *
 * @param decision whether it has taken effect
 * @param version the version in the object store if the change is accepted or refused, which is
 *     higher than that of an accepted change if others have followed; the version that the change
 *     is based on if it is undecided
 * @param between for a refused change, the changes accepted since the version that it is based on;
 *     otherwise empty
 */
public record ChangeResult(Decision decision, long version, List<AcceptedChange> between) {

  /** Whether a change has taken effect. */
  public enum Decision {
    /** The change has taken effect. */
    ACCEPTED,
    /** The change has not taken effect, and will not. */
    REFUSED,
    /**
     * The platform has not confirmed the change, which may still take effect. Submitting it again
     * under the same identifier returns the decision, and never applies it twice.
     */
    UNDECIDED
  }

  /** Copies the list. */
  public ChangeResult {
    between = List.copyOf(between);
  }
}
