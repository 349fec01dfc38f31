/** The command line: one subcommand for each role and each operation of an operator. */
@NullMarked
package org.wigeonstage.cli;

import org.jspecify.annotations.NullMarked;
