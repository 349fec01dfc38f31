/** The routing table: which pool serves a request, for whom, and within which limits. */
@NullMarked
package org.wigeonstage.routes;

import org.jspecify.annotations.NullMarked;
