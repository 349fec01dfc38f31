/**
 * What becomes of a request whose attempt at a backend server ended, and the handling of event
 * streams.
 */
@NullMarked
package org.wigeonstage.forward;

import org.jspecify.annotations.NullMarked;
