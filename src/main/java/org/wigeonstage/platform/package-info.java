/** Adapter for the users' platform: its store, configuration, list of runners and header fields. */
@NullMarked
package org.wigeonstage.platform;

import org.jspecify.annotations.NullMarked;
