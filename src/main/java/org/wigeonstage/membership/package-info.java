/** Registrations of agents, and what an entry knows of them. */
@NullMarked
package org.wigeonstage.membership;

import org.jspecify.annotations.NullMarked;
