package org.wigeonstage.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.wigeonstage.request.HeaderFields;

/**
 * What the header fields of a caller's request say.
 *
 * @param requestId names this sending of the request; empty where the caller gave none
 * @param deadline how long the caller waits for the whole answer
 * @param apiKey the key that shows the client account
 * @param promptTokens the tokens of the prompt, or 0
 * @param maxOutputTokens the most tokens that may be generated, or 0
 * @param expectedOutputTokens the caller's estimate of the tokens that will be generated, or 0;
 *     right in the median and often far off
 * @param declaredTokens the tokens that count against a quota, or -1 where none are declared
 * @param promptSuffixId names the last part of the prompt, which a session's requests share
 * @param lastEventId the last event that the caller has of a stream it resumes
 * @param forwardedFields the fields that a backend server gets as they are
 */
public record RequestFields(
    String requestId,
    Optional<Duration> deadline,
    Optional<String> apiKey,
    long promptTokens,
    long maxOutputTokens,
    long expectedOutputTokens,
    long declaredTokens,
    Optional<String> promptSuffixId,
    OptionalLong lastEventId,
    HeaderFields forwardedFields) {}
