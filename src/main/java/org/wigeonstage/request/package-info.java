/** Values that describe a request and what became of it. */
@NullMarked
package org.wigeonstage.request;

import org.jspecify.annotations.NullMarked;
