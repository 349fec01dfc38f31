package org.wigeonstage.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * The object in the platform's object store that contains the configuration.
 *
 * @param document the document
 * @param history the most recent accepted changes, oldest first
 */
public record ConfigurationRecord(JsonNode document, List<AcceptedChange> history) {

  /** The kind of the object. */
  public static final String KIND = "configuration";

  /** The name of the object. */
  public static final String NAME = "current";

  /** The maximum number of changes in the history. */
  public static final int MAX_HISTORY = 1000;

  /** Copies the list. */
  public ConfigurationRecord {
    history = List.copyOf(history);
  }

  /**
   * Returns whether a submission is one of the accepted changes.
   *
   * @param submissionId the identifier of the submission
   * @return whether the history contains the submission
   */
  public boolean contains(String submissionId) {
    return history.stream().anyMatch(change -> change.submissionId().equals(submissionId));
  }
}
