/** Adapter for the platform: store, configuration, registered backend servers, header fields. */
@NullMarked
package org.wigeonstage.platform;

import org.jspecify.annotations.NullMarked;
