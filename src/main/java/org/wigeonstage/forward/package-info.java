/**
 * Retry decisions after failed attempts, header field conversion and event stream handling. Terms
 * such as attempt, declined and misdirected are defined in {@link org.wigeonstage.gateway}.
 */
@NullMarked
package org.wigeonstage.forward;

import org.jspecify.annotations.NullMarked;
