/**
 * Value types that describe a request and its outcome.
 *
 * <p>A caller may submit the same request several times. A {@link
 * org.wigeonstage.request.RequestId} identifies one submission, and an {@link
 * org.wigeonstage.request.IdempotencyKey} that the caller chooses identifies the request in all its
 * submissions. A request that is not idempotent may run at most once over all of them.
 */
@NullMarked
package org.wigeonstage.request;

import org.jspecify.annotations.NullMarked;
