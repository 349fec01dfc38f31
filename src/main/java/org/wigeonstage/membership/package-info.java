/**
 * Registrations of agents and entries in the object store of the platform.
 *
 * <p>An agent registers itself with its incarnation, a number that grows with each start. An entry
 * registers itself, watches the registrations and the platform's host list, selects the agents that
 * it keeps links to, and computes its share of each client account's limit. If the platform is down
 * when an entry starts, the entry fetches the configuration and the registrations from other
 * entries.
 *
 * <p>The store has a revision for each kind, which increases with each write to an object of the
 * kind, and a version for each object, which increases with each write to that object.
 *
 * <p>See {@link org.wigeonstage.handover} for the other terms.
 */
@NullMarked
package org.wigeonstage.membership;

import org.jspecify.annotations.NullMarked;
