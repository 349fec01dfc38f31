package org.wigeonstage.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Map;
import java.util.Objects;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.wigeonstage.common.Json;
import org.wigeonstage.config.ChangeRequest;
import org.wigeonstage.http.HttpResponse;
import org.wigeonstage.request.HttpCall;
import org.wigeonstage.request.RequestId;

/** Submits a configuration document to an entry. */
final class ConfigApplyCommand implements Command {

  @Override
  public String name() {
    return "config apply";
  }

  @Override
  public String summary() {
    return "submit a configuration document: it takes effect everywhere or not at all";
  }

  @Override
  public Options options() {
    return OperatorClient.options()
        .addOption(Arguments.required("file", "file", "the document, in JSON"))
        .addOption(
            Arguments.required(
                "base", "version", "the configuration version that the document is based on"))
        .addOption(Arguments.optional("author", "name", "who submits it; default: operator"))
        .addOption(Arguments.optional("summary", "text", "what it changes"))
        .addOption(
            Arguments.optional(
                "submission",
                "id",
                "the identifier of an earlier submission, to find out its result"));
  }

  @Override
  public int run(CommandLine line, CommandOutput output) throws IOException {
    String submission =
        Objects.requireNonNullElse(
            line.getOptionValue("submission"), RequestId.create(Instant.now()).value());
    ChangeRequest request =
        new ChangeRequest(
            submission,
            Objects.requireNonNullElse(line.getOptionValue("author"), "operator"),
            Objects.requireNonNullElse(line.getOptionValue("summary"), ""),
            Arguments.integer(line, "base", 0),
            Json.parse(Files.readString(Path.of(line.getOptionValue("file")))));
    output.err().println("submission " + submission);
    HttpCall call =
        new HttpCall(
            "POST",
            "/v1/configuration",
            "application/json",
            Json.write(request).getBytes(StandardCharsets.UTF_8));
    HttpResponse response = OperatorClient.of(line).call(call, Map.of());
    return OperatorClient.print(output, response);
  }
}
