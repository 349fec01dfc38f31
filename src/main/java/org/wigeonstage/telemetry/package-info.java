/**
 * Metrics, tracing and logging.
 *
 * <p>Logs contain messages for operators, and events: decisions and changes of state, which {@link
 * org.wigeonstage.telemetry.DecisionLog} writes as JSON objects. The events about one request, from
 * the logs of several processes, form its {@link org.wigeonstage.telemetry.RequestHistory}.
 *
 * <p>A span is the record of one step of a request, with its start and its duration. A trace
 * consists of the spans of a request in all processes. The {@code traceparent} field, in the form
 * of the W3C trace context, names the span to which those of the next process belong.
 */
@NullMarked
package org.wigeonstage.telemetry;

import org.jspecify.annotations.NullMarked;
