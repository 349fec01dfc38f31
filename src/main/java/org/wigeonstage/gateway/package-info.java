/** The process that takes callers' requests straight to backend servers. */
@NullMarked
package org.wigeonstage.gateway;

import org.jspecify.annotations.NullMarked;
