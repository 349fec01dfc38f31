package org.wigeonstage.quota;

import java.time.Duration;

/**
 * How many attempts may follow first ones.
 *
 * @param ratio attempts for each request in the window
 * @param fixed attempts in the window beside those, over all gateways
 * @param window the length of the window
 * @param safety the part of the allowance that is used, below 1 because requests and attempts fall
 *     into windows that begin at different moments
 */
public record RetryLimits(double ratio, int fixed, Duration window, double safety) {}
