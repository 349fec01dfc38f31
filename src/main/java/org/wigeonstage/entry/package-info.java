/**
 * The entry: the process that accepts the requests of callers, offers them to agents and passes the
 * responses on. It also serves operators.
 *
 * <p>An entry keeps links, which are connections, to agents. It sends heartbeats on them and
 * replaces links that become unresponsive. The hello that opens a link, and the pings and pongs of
 * heartbeats, contain the configuration version of the sender. An entry sends the configuration to
 * an agent that has an older one, and applies a newer one that an agent sends.
 *
 * <p>An entry reads the configuration and the registered agents from the platform's object store.
 * If it starts while the platform is down, it fetches both from its peers, which are other entries.
 */
@NullMarked
package org.wigeonstage.entry;

import org.jspecify.annotations.NullMarked;
