package org.wigeonstage.config;

import java.util.List;

/**
 * The result of a submitted change.
 *
 * @param decision whether it has taken effect
 * @param version the version of the change, or of the document that conflicts with it
 * @param between the changes accepted since the version that the submission was built on
 */
public record ChangeResult(Decision decision, long version, List<AcceptedChange> between) {

  /** Whether a change has taken effect. */
  public enum Decision {
    /** The change has taken effect. */
    ACCEPTED,
    /** The change has not taken effect, and will not. */
    REFUSED,
    /** The platform has not confirmed the change; submitting it again returns the decision. */
    UNDECIDED
  }

  /** Copies the list. */
  public ChangeResult {
    between = List.copyOf(between);
  }
}
