/**
 * The configuration, backend servers and peers that gateways read from the store. Terms such as
 * peer, leaving, and the revision and version of the configuration are defined in {@link
 * org.wigeonstage.gateway}.
 *
 * <p>The store's own revision increases with each write. Backend servers register themselves and
 * renew their registrations by heartbeats; without heartbeats, a registration expires. During an
 * outage of the store, registrations of running servers may therefore expire, and gateways retain
 * these servers for about two seconds after it. Each gateway registers the address at which it
 * listens for its peers.
 */
@NullMarked
package org.wigeonstage.fleet;

import org.jspecify.annotations.NullMarked;
