/** The gateway process, which forwards callers' requests directly to backend servers. */
@NullMarked
package org.wigeonstage.gateway;

import org.jspecify.annotations.NullMarked;
