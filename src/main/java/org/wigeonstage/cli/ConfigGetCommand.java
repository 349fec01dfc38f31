package org.wigeonstage.cli;

import java.io.IOException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Prints the active configuration of an entry. */
final class ConfigGetCommand implements Command {

  @Override
  public String name() {
    return "config get";
  }

  @Override
  public String summary() {
    return "print the active configuration, with its version";
  }

  @Override
  public Options options() {
    return OperatorClient.options();
  }

  @Override
  public int run(CommandLine line, CommandOutput output) throws IOException {
    return OperatorClient.of(line).print(output, "GET", "/v1/configuration");
  }
}
