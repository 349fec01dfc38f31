/**
 * Complete deployments in one process, with stand-ins for the platform and the backend servers. The
 * demo and the benches start them from plans that are built into the program.
 */
@NullMarked
package org.wigeonstage.demo;

import org.jspecify.annotations.NullMarked;
