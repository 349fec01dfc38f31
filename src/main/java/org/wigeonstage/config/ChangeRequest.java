package org.wigeonstage.config;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A change of the configuration that an operator submits.
 *
 * @param submissionId the identifier of the submission, which stays the same in retries
 * @param author the operator who submits the change
 * @param summary the author's description of the change
 * @param baseVersion the version that the change is based on; 0 if there is none
 * @param document the complete new document
 */
public record ChangeRequest(
    String submissionId, String author, String summary, long baseVersion, JsonNode document) {}
