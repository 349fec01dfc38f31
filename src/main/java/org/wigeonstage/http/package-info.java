/**
 * HTTP server and clients on Grizzly. The server streams responses with back-pressure; the clients
 * distinguish calls that were never sent from calls that may have taken effect.
 */
@NullMarked
package org.wigeonstage.http;

import org.jspecify.annotations.NullMarked;
