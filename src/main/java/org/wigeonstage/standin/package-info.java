/**
 * Stand-ins for the platform, a model engine and a plain service, for development and tests.
 *
 * <p>Each listens for HTTP requests as the system that it stands in for does. Paths that begin with
 * {@code /standin/} are not part of that system's interface: they inject faults, set the host list
 * or read counters. The engine and the service count the requests that they receive, so that a test
 * can find requests that were dispatched twice. The service also counts how often it ran each
 * request body, so that a test can find requests that ran although their callers were told
 * otherwise.
 */
@NullMarked
package org.wigeonstage.standin;

import org.jspecify.annotations.NullMarked;
