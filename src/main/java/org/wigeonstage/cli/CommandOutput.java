package org.wigeonstage.cli;

import java.io.PrintStream;

/**
 * The streams that a command prints to.
 *
 * @param out results
 * @param err errors and progress
 */
record CommandOutput(PrintStream out, PrintStream err) {}
