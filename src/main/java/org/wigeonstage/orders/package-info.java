/**
 * Orders by which an agent loads and unloads models on its backend server, and the lease that
 * allows an incarnation to give them.
 */
@NullMarked
package org.wigeonstage.orders;

import org.jspecify.annotations.NullMarked;
