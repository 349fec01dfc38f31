/** Stand-ins for the users' platform: its store, and runners that speak its protocol. */
@NullMarked
package org.wigeonstage.platform.standin;

import org.jspecify.annotations.NullMarked;
