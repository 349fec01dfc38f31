/** Value types that describe a request and its outcome. */
@NullMarked
package org.wigeonstage.request;

import org.jspecify.annotations.NullMarked;
