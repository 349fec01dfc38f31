package org.wigeonstage.placement;

import java.time.Duration;

/**
 * The estimated state of a backend server at the time a request is placed there.
 *
 * @param running the requests of this gateway that run on the server
 * @param runningAtPeers the requests of peers that run on the server, as last reported
 * @param slots the requests that the server runs at once
 * @param timeToFirstPart the expected time until the first part of the response
 * @param isReserved whether the request gets a slot that is reserved for more urgent ones
 */
public record ServerEstimate(
    int running, int runningAtPeers, int slots, Duration timeToFirstPart, boolean isReserved) {}
