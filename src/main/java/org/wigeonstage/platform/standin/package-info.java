/** Stand-ins for the platform's store and for its backend servers ("runners"). */
@NullMarked
package org.wigeonstage.platform.standin;

import org.jspecify.annotations.NullMarked;
