package org.wigeonstage.routes;

import java.time.Duration;

/**
 * Limits for callers' connections.
 *
 * @param maxHeadBytes the largest request line with all header fields
 * @param maxBodyBytes the largest body
 * @param headTimeout how long a caller may take to send the head
 * @param idleTimeout how long a connection may stay without a request
 */
public record TrafficLimits(
    int maxHeadBytes, int maxBodyBytes, Duration headTimeout, Duration idleTimeout) {}
