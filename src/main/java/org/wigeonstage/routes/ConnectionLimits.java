package org.wigeonstage.routes;

import java.time.Duration;

/**
 * The configured limits on callers' connections. Gateways apply only {@code maxBodyBytes}; their
 * other limits are constants.
 *
 * @param maxHeadBytes the maximum size of the request line and all header fields together
 * @param maxBodyBytes the maximum size of a request body
 * @param headTimeout the maximum time for a caller to send the request line and header fields
 * @param idleTimeout the maximum time that a connection may be idle between requests
 */
public record ConnectionLimits(
    int maxHeadBytes, int maxBodyBytes, Duration headTimeout, Duration idleTimeout) {}
