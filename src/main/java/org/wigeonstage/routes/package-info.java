/** The routing table, which determines the pool, the client account and the limits of a request. */
@NullMarked
package org.wigeonstage.routes;

import org.jspecify.annotations.NullMarked;
