/** Access to the platform's object store and list of hosts. */
@NullMarked
package org.wigeonstage.store;

import org.jspecify.annotations.NullMarked;
