/**
 * Registrations of agents and entries in the object store of the platform, and what an entry
 * derives from them: the agents it connects to, and its share of each client account's limit.
 *
 * <p>See {@link org.wigeonstage.handover} for the terms.
 */
@NullMarked
package org.wigeonstage.membership;

import org.jspecify.annotations.NullMarked;
