/**
 * The configuration, backend servers and peers that gateways read from the store.
 *
 * <p>The store has a revision, which increases with each write. Backend servers register themselves
 * and renew their registrations by heartbeats; without heartbeats, a registration expires. During
 * an outage of the store, registrations of running servers may therefore expire, and gateways
 * retain these servers for about two seconds after it. Each gateway registers the address at which
 * it listens for its peers, the other gateways.
 */
@NullMarked
package org.wigeonstage.fleet;

import org.jspecify.annotations.NullMarked;
