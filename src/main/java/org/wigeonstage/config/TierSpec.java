package org.wigeonstage.config;

/**
 * A tier of urgency; tiers stand in the document from the highest to the lowest.
 *
 * @param name the tier's name
 * @param startWithinMillis how long a request may wait for its dispatch, in milliseconds
 * @param finishWithinMillis how long a caller may wait for its whole answer, in milliseconds
 */
public record TierSpec(String name, long startWithinMillis, long finishWithinMillis) {}
