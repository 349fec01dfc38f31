package org.wigeonstage.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.wigeonstage.telemetry.RequestHistory;

/** Shows from the logs on standard input what happened to a request, and why. */
final class ExplainCommand implements Command {

  private final InputStream in;

  ExplainCommand(InputStream in) {
    this.in = in;
  }

  @Override
  public String name() {
    return "explain";
  }

  @Override
  public String summary() {
    return "show from the logs on standard input what happened to a request, and why";
  }

  @Override
  public Options options() {
    return new Options().addOption(Arguments.required("request", "id", "the request's identifier"));
  }

  @Override
  public int run(CommandLine line, CommandOutput output) throws IOException {
    RequestHistory history = new RequestHistory(line.getOptionValue("request"));
    BufferedReader reader = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
    for (String text = reader.readLine(); text != null; text = reader.readLine()) {
      history.add(text);
    }
    List<String> lines = history.lines();
    lines.forEach(output.out()::println);
    if (history.unreadableLines() > 0) {
      output.err().println("lines that could not be read: " + history.unreadableLines());
    }
    if (lines.isEmpty()) {
      output
          .err()
          .println(
              "no log line is about this request; of ordinary requests, only a sample is logged");
    }
    return lines.isEmpty() ? FAILURE : SUCCESS;
  }
}
