/**
 * Access of entries and agents to the platform's object store and list of hosts. Gateways access
 * their platform's store through {@link org.wigeonstage.fleet.FleetStore}.
 *
 * <p>An object has a kind, a name and a text. Two numbers increase with writes: the version of an
 * object with each write to that object, and the revision of a kind with each write to any object
 * of the kind. A write names the version that it expects and has no effect if the object has
 * another one. A watch waits for a revision higher than a given one.
 */
@NullMarked
package org.wigeonstage.store;

import org.jspecify.annotations.NullMarked;
