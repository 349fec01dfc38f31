package org.wigeonstage.forward;

/**
 * What matters for the decision after an attempt.
 *
 * @param mayRepeat whether the request may run more than once
 * @param isStream whether the answer is a stream of events
 * @param hasBegun whether the caller has part of the answer
 * @param mayHaveRun whether an earlier attempt may have run
 * @param canRetry whether attempts, time and the retry budget allow another attempt
 */
public record AttemptContext(
    boolean mayRepeat, boolean isStream, boolean hasBegun, boolean mayHaveRun, boolean canRetry) {}
