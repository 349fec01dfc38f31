package org.wigeonstage.forward;

/**
 * The state of a request after an attempt failed, as far as it matters for the next step.
 *
 * @param mayRunMoreThanOnce whether the request may run more than once
 * @param isStream whether the response is an event stream
 * @param hasResponseStarted whether part of the response was sent to the caller
 * @param mayHaveRun whether the request may have run in an attempt before the failed one
 * @param hasRetriesLeft whether all limits that the gateway has checked allow another attempt: the
 *     maximum number of attempts, the deadline and, if it was checked, the retry budget
 */
public record AttemptContext(
    boolean mayRunMoreThanOnce,
    boolean isStream,
    boolean hasResponseStarted,
    boolean mayHaveRun,
    boolean hasRetriesLeft) {}
