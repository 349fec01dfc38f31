package org.wigeonstage.quota;

import java.time.Duration;

/**
 * The limits of a retry budget.
 *
 * @param retriesPerRequest the retries allowed for each request in the window
 * @param fixedRetries the additional retries that all gateways together may make in the window
 * @param window the length of the window
 * @param usableShare the share of the allowance that is used; below 1 because requests and retries
 *     fall into windows that begin at different times
 */
public record RetryLimits(
    double retriesPerRequest, int fixedRetries, Duration window, double usableShare) {}
