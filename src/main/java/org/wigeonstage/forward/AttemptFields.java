package org.wigeonstage.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a backend server is told about one attempt beside the caller's request.
 *
 * @param serverId the server that is meant; another one at the same address refuses
 * @param remainingTime how much time is left for the whole answer
 * @param account the caller's client account
 * @param lastEventId the last event that the caller has
 */
public record AttemptFields(
    String serverId, Duration remainingTime, Optional<String> account, OptionalLong lastEventId) {}
