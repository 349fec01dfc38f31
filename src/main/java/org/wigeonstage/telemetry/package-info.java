/** Metrics, tracing and logging. */
@NullMarked
package org.wigeonstage.telemetry;

import org.jspecify.annotations.NullMarked;
