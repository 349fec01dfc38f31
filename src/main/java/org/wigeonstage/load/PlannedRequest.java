package org.wigeonstage.load;

import java.time.Duration;

/**
 * A request of an experiment, and when to send it.
 *
 * @param requestClass the class of the request
 * @param sendOffset the time from the start of the experiment to the sending
 * @param prompt the prompt, or the body for a plain service, which is unique in the experiment
 * @param outputTokens the length of the response in tokens
 */
record PlannedRequest(
    RequestClass requestClass, Duration sendOffset, String prompt, int outputTokens) {}
