package org.wigeonstage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that only the platform adapter contains names of the platform's protocol. */
class PlatformNamesTest {

  private static final Path MAIN = Path.of("src/main/java/org/wigeonstage");
  private static final Pattern STRING_LITERAL = Pattern.compile("\"([^\"\\\\]|\\\\.)*\"");

  /**
   * Header fields, paths, body fields and environment variables that only the protocol of the
   * platform uses. The comparison ignores case.
   */
  private static final List<String> NAMES =
      List.of(
          "Attempt-Id",
          "Deadline-Ms",
          "Prompt-Prefix",
          "Response-Signature",
          "Target-Instance",
          "Not-Executed",
          "Instance-Id",
          "Token-Count",
          "Length-Hint",
          "Credential",
          "Store-Era",
          "Kv-",
          "/wigeonstage/",
          "path_prefix",
          "route_kind",
          "timeout_ms",
          "max_attempts",
          "auth_exempt",
          "traffic_split",
          "api_keys",
          "rate_per_s",
          "burst_size",
          "slot_count",
          "cold_remaining_ms",
          "duration_s",
          "rolled_back",
          "draining",
          "tenant",
          "WIGEONSTAGE_BOOT");

  @Test
  void occurOnlyInThePlatformAdapter() throws IOException {
    List<String> found = new ArrayList<>();
    try (Stream<Path> files = Files.walk(MAIN)) {
      for (Path file : files.filter(path -> path.toString().endsWith(".java")).toList()) {
        if (!file.startsWith(MAIN.resolve("platform"))) {
          collectNames(file, found);
        }
      }
    }
    assertThat(found).isEmpty();
  }

  private static void collectNames(Path file, List<String> found) throws IOException {
    Matcher literals = STRING_LITERAL.matcher(Files.readString(file));
    while (literals.find()) {
      for (String name : NAMES) {
        if (literals.group().toLowerCase().contains(name.toLowerCase())) {
          found.add(file + ": " + literals.group());
        }
      }
    }
  }
}
