/**
 * The command line. Its subcommands run a process of a deployment, perform an operator's operation,
 * run a stand-in, send loads, or are tools for development and the build.
 *
 * <p>A subcommand ends with the exit code 0 after success, 1 after a failure at run time and 2 if
 * the command line is invalid.
 */
@NullMarked
package org.wigeonstage.cli;

import org.jspecify.annotations.NullMarked;
