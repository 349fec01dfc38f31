/**
 * The configuration, backend servers and peers that gateways read from the store. Terms such as
 * peer, leaving, revision and version are defined in {@link org.wigeonstage.gateway}.
 */
@NullMarked
package org.wigeonstage.fleet;

import org.jspecify.annotations.NullMarked;
