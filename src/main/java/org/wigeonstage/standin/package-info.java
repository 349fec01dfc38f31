/** Small stand-ins for the platform, an engine and a plain service, for development and tests. */
@NullMarked
package org.wigeonstage.standin;

import org.jspecify.annotations.NullMarked;
