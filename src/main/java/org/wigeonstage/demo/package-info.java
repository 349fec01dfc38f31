/** Complete deployments in one process, with stand-ins for the platform and the backend servers. */
@NullMarked
package org.wigeonstage.demo;

import org.jspecify.annotations.NullMarked;
