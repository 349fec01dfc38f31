/** The configuration, backend servers and peers that gateways read from the store. */
@NullMarked
package org.wigeonstage.fleet;

import org.jspecify.annotations.NullMarked;
