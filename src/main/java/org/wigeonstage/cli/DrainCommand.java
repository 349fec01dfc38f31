package org.wigeonstage.cli;

import java.io.IOException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Tells an entry or agent to drain. */
final class DrainCommand implements Command {

  @Override
  public String name() {
    return "drain";
  }

  @Override
  public String summary() {
    return "drain an entry or agent: it accepts no new requests and finishes the others";
  }

  @Override
  public Options options() {
    return OperatorClient.options();
  }

  @Override
  public int run(CommandLine line, CommandOutput output) throws IOException {
    return OperatorClient.of(line).print(output, "POST", "/v1/drain");
  }
}
