/**
 * What is learned about the speed of backend servers from their responses, and how many requests
 * each of them handles well. Pure decisions: the time is passed in, and nothing here performs I/O.
 */
@NullMarked
package org.wigeonstage.capacity;

import org.jspecify.annotations.NullMarked;
