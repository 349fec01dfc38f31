package org.wigeonstage.config;

/**
 * A change of the configuration that has taken effect.
 *
 * @param submissionId identifies the submission
 * @param author who submitted it
 * @param summary what it changes, in the author's words
 * @param atMillis when it was submitted, in milliseconds since the epoch
 * @param baseVersion the version that it was built on
 */
public record AcceptedChange(
    String submissionId, String author, String summary, long atMillis, long baseVersion) {}
