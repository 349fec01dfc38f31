package org.wigeonstage.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * The object that holds the configuration in the platform's object API.
 *
 * @param document the document
 * @param history the last accepted changes, oldest first
 */
public record ConfigurationRecord(JsonNode document, List<AcceptedChange> history) {

  /** The kind of the object. */
  public static final String KIND = "configuration";

  /** The name of the object. */
  public static final String NAME = "current";

  /** The most changes that the history keeps. */
  public static final int MAX_HISTORY = 1000;

  /** Makes the list immutable. */
  public ConfigurationRecord {
    history = List.copyOf(history);
  }

  /**
   * Tells whether a submission is among the accepted changes.
   *
   * @param submissionId the submission
   * @return whether it has taken effect
   */
  public boolean contains(String submissionId) {
    return history.stream().anyMatch(change -> change.submissionId().equals(submissionId));
  }
}
