/** Where and when a request runs: waiting by tier, choice of a backend server, learned speeds. */
@NullMarked
package org.wigeonstage.placement;

import org.jspecify.annotations.NullMarked;
