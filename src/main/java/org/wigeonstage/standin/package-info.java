/** Stand-ins for the platform, a model engine and a plain service, for development and tests. */
@NullMarked
package org.wigeonstage.standin;

import org.jspecify.annotations.NullMarked;
