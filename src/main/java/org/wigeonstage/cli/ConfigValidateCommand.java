package org.wigeonstage.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.wigeonstage.common.InvalidDocumentException;
import org.wigeonstage.config.ConfigurationParser;

/** Checks a configuration document without calling any process. */
final class ConfigValidateCommand implements Command {

  @Override
  public String name() {
    return "config validate";
  }

  @Override
  public String summary() {
    return "check a configuration document and print all of its faults";
  }

  @Override
  public Options options() {
    return new Options().addOption(Arguments.required("file", "file", "the document, in JSON"));
  }

  @Override
  public int run(CommandLine line, CommandOutput output) throws IOException {
    String text = Files.readString(Path.of(line.getOptionValue("file")));
    try {
      ConfigurationParser.parse(text);
    } catch (InvalidDocumentException e) {
      e.faults().forEach(fault -> output.err().println(fault));
      return FAILURE;
    }
    output.out().println("the document is valid");
    return SUCCESS;
  }
}
