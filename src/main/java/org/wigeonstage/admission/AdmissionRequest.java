package org.wigeonstage.admission;

import org.jspecify.annotations.Nullable;
import org.wigeonstage.request.HttpCall;

/**
 * A caller's request before admission.
 *
 * @param path the path without the query
 * @param call the method, path with query, media type and body; unlike {@code path}, its path
 *     includes the query
 * @param authorization the value of the {@code Authorization} header, or null
 * @param idempotencyKey the value of the {@code Idempotency-Key} header, or null
 */
public record AdmissionRequest(
    String path, HttpCall call, @Nullable String authorization, @Nullable String idempotencyKey) {}
