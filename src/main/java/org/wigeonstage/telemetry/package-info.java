/** Metrics, traces and logs. */
@NullMarked
package org.wigeonstage.telemetry;

import org.jspecify.annotations.NullMarked;
