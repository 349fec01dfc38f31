package org.wigeonstage.config;

/**
 * A tier of urgency. The document lists tiers from the highest to the lowest.
 *
 * @param name the tier's name
 * @param startWithinMillis the maximum time until a request is dispatched, in milliseconds
 * @param finishWithinMillis the maximum time until its response is complete, in milliseconds
 */
public record TierSpec(String name, long startWithinMillis, long finishWithinMillis) {}
