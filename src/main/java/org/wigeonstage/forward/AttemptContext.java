package org.wigeonstage.forward;

/**
 * The state of a request after an attempt failed, as far as it matters for the next step.
 *
 * @param mayRunMoreThanOnce whether the request may run more than once
 * @param isStream whether the response is an event stream
 * @param hasResponseStarted whether part of the response was sent to the caller
 * @param mayHaveRun whether an earlier attempt may have run
 * @param hasRetriesLeft whether the limits that the caller of the policy has checked allow another
 *     attempt: the maximum number of attempts, the deadline or the retry budget
 */
public record AttemptContext(
    boolean mayRunMoreThanOnce,
    boolean isStream,
    boolean hasResponseStarted,
    boolean mayHaveRun,
    boolean hasRetriesLeft) {}
