/** Access to the object store of wigeonstage's own deployments and its list of hosts. */
@NullMarked
package org.wigeonstage.store;

import org.jspecify.annotations.NullMarked;
