/** The entry's record of each request from its routing to its outcome. */
@NullMarked
package org.wigeonstage.dispatch;

import org.jspecify.annotations.NullMarked;
