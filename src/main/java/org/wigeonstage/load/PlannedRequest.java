package org.wigeonstage.load;

import java.time.Duration;

/**
 * A request of an experiment.
 *
 * @param requestClass its kind
 * @param sendOffset when to send it, from the start
 * @param prompt the prompt, or the body for a plain service; unique in the experiment
 * @param outputTokens the length of the answer in tokens
 */
record PlannedRequest(
    RequestClass requestClass, Duration sendOffset, String prompt, int outputTokens) {}
