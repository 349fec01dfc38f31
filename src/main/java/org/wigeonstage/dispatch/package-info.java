/** Dispatch of requests at an entry: which agent has each request, from routing to final result. */
@NullMarked
package org.wigeonstage.dispatch;

import org.jspecify.annotations.NullMarked;
