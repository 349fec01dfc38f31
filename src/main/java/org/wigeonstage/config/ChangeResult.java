package org.wigeonstage.config;

import java.util.List;

/**
 * What became of a submitted change.
 *
 * @param decision whether it has taken effect
 * @param version the version of the change, or of the document that stands in its way
 * @param between the changes accepted since the version that the submission was built on
 */
public record ChangeResult(Decision decision, long version, List<AcceptedChange> between) {

  /** Whether a change has taken effect. */
  public enum Decision {
    /** The change has taken effect. */
    ACCEPTED,
    /** Nothing of the change has taken effect, and nothing will. */
    REFUSED,
    /** The platform has not said; the same submission may be submitted again to ask. */
    UNDECIDED
  }

  /** Makes the list immutable. */
  public ChangeResult {
    between = List.copyOf(between);
  }
}
