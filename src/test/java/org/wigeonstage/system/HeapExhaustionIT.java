package org.wigeonstage.system;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests that a process without heap ends, so that it is restarted, instead of hanging. */
class HeapExhaustionIT {

  private static final int TIMEOUT_SECONDS = 30;

  /** The exit code of the option that ends the process. */
  private static final int EXHAUSTED = 3;

  /** Exhausts the heap on one thread, while others go on. */
  static final class Exhausting {

    public static void main(String[] arguments) throws InterruptedException {
      Thread filling = new Thread(Exhausting::fill);
      filling.start();
      Thread.sleep(TimeUnit.SECONDS.toMillis(2 * TIMEOUT_SECONDS));
    }

    private static void fill() {
      List<byte[]> kept = new ArrayList<>();
      while (true) {
        kept.add(new byte[64 * 1024]);
      }
    }
  }

  /**
   * Guards against a gateway that lives and serves nothing after an OutOfMemoryError in one of its
   * threads.
   */
  @Test
  void processWithTheOptionsOfTheDeploymentEndsWhenItsHeapIsExhausted() throws Exception {
    Process process = start();
    try {
      assertThat(process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
      assertThat(process.exitValue()).isEqualTo(EXHAUSTED);
    } finally {
      process.destroyForcibly();
    }
  }

  private static Process start() throws IOException {
    String options =
        Files.readString(Path.of("deploy", "system.toml"))
            .replaceFirst("(?s).*run = \"java (.*?) -XX:SharedArchiveFile.*", "$1");
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of(options.split(" ")));
    command.addAll(List.of("-cp", System.getProperty("java.class.path")));
    command.add(Exhausting.class.getName());
    return new ProcessBuilder(command)
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
        .start();
  }
}
