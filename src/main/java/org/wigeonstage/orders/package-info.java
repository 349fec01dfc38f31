/**
 * Orders by which an agent loads and unloads models on its backend server, and the lease that
 * allows an incarnation of the agent to send them.
 */
@NullMarked
package org.wigeonstage.orders;

import org.jspecify.annotations.NullMarked;
