/** Whole deployments in one process, with stand-ins for everything outside of the project. */
@NullMarked
package org.wigeonstage.demo;

import org.jspecify.annotations.NullMarked;
