package org.wigeonstage.cli;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.wigeonstage.handover.Message;

/** Prints the program's version. */
final class VersionCommand implements Command {

  private static final String VERSION = "0.1.0";

  @Override
  public String name() {
    return "version";
  }

  @Override
  public String summary() {
    return "print the version of the program and of its protocol";
  }

  @Override
  public Options options() {
    return new Options();
  }

  @Override
  public int run(CommandLine line, CommandOutput output) {
    output
        .out()
        .println("wigeonstage " + VERSION + ", hand-over protocol " + Message.PROTOCOL_VERSION);
    return SUCCESS;
  }
}
