package org.wigeonstage.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.wigeonstage.common.Json;
import org.wigeonstage.load.HtmlReport;
import org.wigeonstage.load.LoadSummary;

/** Writes the figures of runs to the files that the options name. */
final class ResultFiles {

  private ResultFiles() {}

  static void write(CommandLine line, String title, List<LoadSummary> summaries)
      throws IOException {
    String json = line.getOptionValue("json");
    if (json != null) {
      Files.writeString(Path.of(json), Json.writePretty(summaries));
    }
    String html = line.getOptionValue("html");
    if (html != null) {
      Files.writeString(Path.of(html), HtmlReport.of(title, summaries));
    }
  }
}
