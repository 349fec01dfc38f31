package org.wigeonstage.cli;

import java.io.IOException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Prints the status of an entry or agent. */
final class StatusCommand implements Command {

  @Override
  public String name() {
    return "status";
  }

  @Override
  public String summary() {
    return "show the status of an entry or agent";
  }

  @Override
  public Options options() {
    return OperatorClient.options();
  }

  @Override
  public int run(CommandLine line, CommandOutput output) throws IOException {
    return OperatorClient.of(line).print(output, "GET", "/v1/status");
  }
}
