package org.wigeonstage.config;

import java.util.List;

/**
 * A change of the configuration that has taken effect.
 *
 * @param submissionId the identifier of the submission
 * @param author the operator who submitted the change
 * @param summary the author's description of the change
 * @param atMillis the time at which the change was written, in milliseconds since the epoch
 * @param baseVersion the version that the change is based on
 * @param differences the changes to the document, one line each
 */
public record AcceptedChange(
    String submissionId,
    String author,
    String summary,
    long atMillis,
    long baseVersion,
    List<String> differences) {

  /** Copies the list. */
  public AcceptedChange {
    differences = List.copyOf(differences);
  }
}
