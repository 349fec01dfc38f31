package org.wigeonstage.admission;

import org.jspecify.annotations.Nullable;
import org.wigeonstage.request.HttpCall;

/**
 * What a caller sent.
 *
 * @param path the path without its query
 * @param call method, path with query, media type and body
 * @param authorization the {@code Authorization} field, or null
 * @param idempotencyKey the {@code Idempotency-Key} field, or null
 */
public record AdmissionRequest(
    String path, HttpCall call, @Nullable String authorization, @Nullable String idempotencyKey) {}
