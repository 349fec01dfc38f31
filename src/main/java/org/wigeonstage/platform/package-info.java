/** Access to the platform's object API and its list of hosts. */
@NullMarked
package org.wigeonstage.platform;

import org.jspecify.annotations.NullMarked;
