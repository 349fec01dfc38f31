package org.wigeonstage.placement;

import java.time.Duration;

/**
 * What is believed of a backend server when a request is placed there.
 *
 * @param running requests of this gateway that run there
 * @param runningAtPeers requests of other gateways that run there
 * @param slots the requests that it runs at once
 * @param timeToFirstPart the expected time to the first part of the answer
 */
public record ServerEstimate(
    int running, int runningAtPeers, int slots, Duration timeToFirstPart) {}
