package org.wigeonstage.cli;

import java.io.IOException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Prints the accepted changes of the configuration. */
final class ConfigHistoryCommand implements Command {

  @Override
  public String name() {
    return "config history";
  }

  @Override
  public String summary() {
    return "print the accepted changes of the configuration";
  }

  @Override
  public Options options() {
    return OperatorClient.options();
  }

  @Override
  public int run(CommandLine line, CommandOutput output) throws IOException {
    return OperatorClient.of(line).print(output, "GET", "/v1/configuration/history");
  }
}
