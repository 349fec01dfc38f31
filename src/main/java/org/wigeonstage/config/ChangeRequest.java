package org.wigeonstage.config;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A change of the configuration that an operator submits.
 *
 * @param submissionId identifies the submission over repeated attempts
 * @param author who submits it
 * @param summary what it changes, in the author's words
 * @param baseVersion the version that it was built on; 0 where there was none
 * @param document the whole new document
 */
public record ChangeRequest(
    String submissionId, String author, String summary, long baseVersion, JsonNode document) {}
