package org.wigeonstage.cli;

import java.io.IOException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** A subcommand of the program. */
interface Command {

  /** The exit code of a success. */
  int SUCCESS = 0;

  /** The exit code of a failure at run time. */
  int FAILURE = 1;

  /** The exit code of an invalid command line. */
  int USAGE = 2;

  /** Returns the name of the command: one word, or two for a command of a group. */
  String name();

  /** Returns what the command does, in one line. */
  String summary();

  /** Returns the options, without {@code --help}. */
  Options options();

  /**
   * Runs the command.
   *
   * @param line the parsed options
   * @param output where to print
   * @return the exit code
   */
  int run(CommandLine line, CommandOutput output) throws IOException, InterruptedException;
}
