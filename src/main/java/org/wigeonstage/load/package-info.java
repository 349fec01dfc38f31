/** The load generator, its experiments and reports. */
@NullMarked
package org.wigeonstage.load;

import org.jspecify.annotations.NullMarked;
