package org.wigeonstage.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CommandRunnerTest {

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private int run(String... args) {
    CommandOutput output =
        new CommandOutput(new PrintStream(out, true), new PrintStream(err, true));
    return new CommandRunner(Main.commands(), output).run(args);
  }

  private String output() {
    return out.toString(StandardCharsets.UTF_8);
  }

  private String errors() {
    return err.toString(StandardCharsets.UTF_8);
  }

  @Test
  void theOverviewNamesEveryCommand() {
    assertThat(run("--help")).isZero();
    Approvals.verify(out.toString(StandardCharsets.UTF_8));
  }

  @Test
  void everyCommandHasHelp() {
    StringBuilder all = new StringBuilder();
    for (Command command : Main.commands()) {
      out.reset();
      assertThat(run((command.name() + " --help").split(" ", -1))).isZero();
      all.append(out.toString(StandardCharsets.UTF_8)).append('\n');
    }
    Approvals.verify(all);
  }

  @Test
  void anUnknownCommandIsAUsageError() {
    assertThat(run("frobnicate")).isEqualTo(2);
    assertThat(errors())
        .isEqualToIgnoringNewLines("wigeonstage: unknown command 'frobnicate'; see --help");
  }

  @Test
  void aMissingOptionIsAUsageErrorInOneLine() {
    assertThat(run("entry")).isEqualTo(2);
    assertThat(errors().lines()).hasSize(1);
  }

  @Test
  void anUnexpectedArgumentIsAUsageError() {
    assertThat(run("version", "now")).isEqualTo(2);
  }

  @Test
  void aMissingSettingsFileIsAFailureWithACode() {
    assertThat(run("entry", "--settings", "/does/not/exist.json")).isEqualTo(1);
    assertThat(errors()).startsWith("wigeonstage: [io] can't read");
  }

  @Test
  void everyFaultOfASettingsFileIsPrinted(@TempDir Path directory) throws IOException {
    Path file = directory.resolve("entry.json");
    Files.writeString(
        file,
        "{\"name\":\"e\",\"failureDomain\":\"\",\"callers\":\"127.0.0.1:99999\","
            + "\"operators\":\"127.0.0.1:1\",\"platform\":\"127.0.0.1:2\"}");
    assertThat(run("entry", "--settings", file.toString(), "--check")).isEqualTo(1);
    assertThat(errors()).contains("2 faults").contains("/failureDomain").contains("/callers");
  }

  @Test
  void everyFaultOfAConfigurationDocumentIsPrinted(@TempDir Path directory) throws IOException {
    Path file = directory.resolve("document.json");
    Files.writeString(file, "{\"tiers\":[],\"accounts\":1,\"pools\":[]}");
    assertThat(run("config", "validate", "--file", file.toString())).isEqualTo(1);
    assertThat(errors().lines()).hasSize(3);
  }

  @Test
  void theHelpOfAGroupListsItsCommands() {
    assertThat(run("config", "--help")).isZero();
    assertThat(output()).contains("config get").contains("config apply");
    assertThat(run("standin", "--help")).isZero();
    assertThat(output()).contains("standin engine");
    assertThat(run("load", "--help")).isZero();
    assertThat(output()).contains("load compare");
  }

  @Test
  void everyFaultOfAGatewaysSettingsIsPrinted(@TempDir Path directory) throws IOException {
    Path file = directory.resolve("gateway.json");
    Files.writeString(
        file,
        "{\"name\":\"g 1\",\"failureDomain\":\"a\",\"callers\":\"127.0.0.1:99999\","
            + "\"readiness\":\"127.0.0.1:1\",\"peers\":\"127.0.0.1:2\","
            + "\"metrics\":\"127.0.0.1:3\",\"graceSeconds\":0,\"unknown\":1}");
    assertThat(run("gateway", "--settings", file.toString(), "--check")).isEqualTo(1);
    assertThat(errors())
        .contains("4 faults")
        .contains("/name")
        .contains("/callers")
        .contains("/store")
        .contains("/graceSeconds");
  }
}
