package org.wigeonstage.forward;

/**
 * The state of a request after an attempt failed, as far as it matters for the next step.
 *
 * @param mayRunMoreThanOnce whether the request may run more than once
 * @param isStream whether the response is an event stream
 * @param hasResponseStarted whether part of the response has reached the caller
 * @param mayHaveRun whether an earlier attempt may have run
 * @param hasRetriesLeft whether the attempt limit, the deadline and the retry budget allow another
 *     attempt
 */
public record AttemptContext(
    boolean mayRunMoreThanOnce,
    boolean isStream,
    boolean hasResponseStarted,
    boolean mayHaveRun,
    boolean hasRetriesLeft) {}
