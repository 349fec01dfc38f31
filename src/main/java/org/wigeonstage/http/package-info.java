/**
 * HTTP on Grizzly: a server whose exchanges stream with back-pressure, and a client that tells
 * refused from lost.
 */
@NullMarked
package org.wigeonstage.http;

import org.jspecify.annotations.NullMarked;
