package org.wigeonstage.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The information about one attempt that is sent to a backend server in addition to the caller's
 * request.
 *
 * @param serverId the intended server; another server at the same address does not run the request
 * @param remainingTime the time left until the complete response is due
 * @param account the caller's client account
 * @param lastEventId the ID of the last event that the caller received, to resume a stream after it
 */
public record AttemptFields(
    String serverId, Duration remainingTime, Optional<String> account, OptionalLong lastEventId) {}
