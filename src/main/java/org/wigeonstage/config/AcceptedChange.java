package org.wigeonstage.config;

import java.util.List;

/**
 * A change of the configuration that has taken effect.
 *
 * @param submissionId identifies the submission
 * @param author who submitted it
 * @param summary what it changes, in the author's words
 * @param atMillis when it was submitted, in milliseconds since the epoch
 * @param baseVersion the version that it was built on
 * @param differences what it changed, a line each
 */
public record AcceptedChange(
    String submissionId,
    String author,
    String summary,
    long atMillis,
    long baseVersion,
    List<String> differences) {

  /** Makes the list immutable. */
  public AcceptedChange {
    differences = List.copyOf(differences);
  }
}
