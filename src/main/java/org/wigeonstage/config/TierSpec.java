package org.wigeonstage.config;

/**
 * A tier of urgency. The document lists tiers from the highest to the lowest.
 *
 * @param name the tier's name
 * @param startWithinMillis the maximum time from the admission of a request to its dispatch, in
 *     milliseconds
 * @param finishWithinMillis the maximum time from its admission to the end of its response, in
 *     milliseconds
 */
public record TierSpec(String name, long startWithinMillis, long finishWithinMillis) {}
