package org.wigeonstage.cli;

import java.io.IOException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.wigeonstage.platform.standin.Rehearsal;
import org.wigeonstage.telemetry.LogSetup;

/** Runs a gateway with stand-ins for a moment. */
final class RehearseCommand implements Command {

  @Override
  public String name() {
    return "rehearse";
  }

  @Override
  public String summary() {
    return "run a gateway with stand-ins for a moment, as the build does to record its classes";
  }

  @Override
  public Options options() {
    return new Options();
  }

  @Override
  public int run(CommandLine line, Console console) throws IOException, InterruptedException {
    LogSetup.applyBounded("rehearsal", "json");
    int served = Rehearsal.run();
    console.err().println("requests served: " + served);
    return served > 0 ? SUCCESS : FAILURE;
  }
}
