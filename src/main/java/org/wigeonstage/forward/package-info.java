/** Retry decisions after failed attempts, header field conversion and event stream handling. */
@NullMarked
package org.wigeonstage.forward;

import org.jspecify.annotations.NullMarked;
