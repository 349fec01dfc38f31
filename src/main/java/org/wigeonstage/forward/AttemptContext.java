package org.wigeonstage.forward;

/**
 * What matters for the decision after an attempt.
 *
 * @param mayRetry whether the request may run more than once
 * @param isStream whether the answer is a stream of events
 * @param hasStarted whether the caller has part of the answer
 * @param mayHaveRun whether an earlier attempt may have run
 * @param hasRetriesLeft whether attempts, time and the retry budget allow another attempt
 */
public record AttemptContext(
    boolean mayRetry,
    boolean isStream,
    boolean hasStarted,
    boolean mayHaveRun,
    boolean hasRetriesLeft) {}
