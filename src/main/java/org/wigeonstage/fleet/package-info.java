/** Backend servers and peers as a gateway believes them to be, with the age of each belief. */
@NullMarked
package org.wigeonstage.fleet;

import org.jspecify.annotations.NullMarked;
