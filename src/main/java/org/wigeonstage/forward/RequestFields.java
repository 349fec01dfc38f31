package org.wigeonstage.forward;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.wigeonstage.request.HeaderFields;

/**
 * The values in the header fields of a caller's request.
 *
 * @param requestId the caller's ID of this request; if the caller sends the request again, it has a
 *     new ID; empty if none
 * @param timeLimit the time from the arrival of the request within which the caller expects the
 *     complete response
 * @param apiKey the API key, which identifies the client account
 * @param promptTokens the tokens of the prompt, or 0 if not declared
 * @param maxOutputTokens the maximum number of tokens to generate, or 0 if not declared
 * @param expectedOutputTokens the caller's estimate of the tokens that will be generated, or 0;
 *     accurate in the median but often far off
 * @param declaredTokens the tokens that count against a quota, or -1 if not declared
 * @param sharedPromptParts identifies the parts of the prompt that other requests may share, in
 *     order: all but the last one, which belongs to the request or its session
 * @param lastEventId the ID of the last event that the caller received of a stream that it resumes
 * @param requiresVersion whether only servers with a certain version may run the request
 * @param forwardedFields the header fields that are forwarded to the backend server unchanged
 */
public record RequestFields(
    String requestId,
    Optional<Duration> timeLimit,
    Optional<String> apiKey,
    long promptTokens,
    long maxOutputTokens,
    long expectedOutputTokens,
    long declaredTokens,
    List<String> sharedPromptParts,
    OptionalLong lastEventId,
    boolean requiresVersion,
    HeaderFields forwardedFields) {

  /** Copies the list. */
  public RequestFields {
    sharedPromptParts = List.copyOf(sharedPromptParts);
  }
}
