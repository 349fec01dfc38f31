package org.wigeonstage.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.Polling;
import org.wigeonstage.common.WigeonstageException;
import sun.misc.Signal;

class SettingsWatchTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private final List<String> reloaded = new CopyOnWriteArrayList<>();

  @TempDir private Path directory;

  @Test
  void survivesHangupAndDeliversChangedSettings() throws Exception {
    Path file = Files.writeString(directory.resolve("settings.json"), "one");
    try (SettingsWatch watch = SettingsWatch.start(file)) {
      watch.deliverTo(reloaded::add);
      Signal.raise(new Signal("HUP"));
      Files.writeString(file, "two");
      Signal.raise(new Signal("HUP"));
      assertThat(Polling.await(() -> reloaded.contains("two"), TIMEOUT)).isTrue();
      Files.writeString(file, "three");
      assertThat(Polling.await(() -> reloaded.contains("three"), TIMEOUT)).isTrue();
    }
  }

  @Test
  void deliversAChangeMadeBeforeTheReloadActionWasSet() throws Exception {
    Path file = Files.writeString(directory.resolve("settings.json"), "one");
    try (SettingsWatch watch = SettingsWatch.start(file)) {
      Files.writeString(file, "two");
      Signal.raise(new Signal("HUP"));
      watch.deliverTo(reloaded::add);
      assertThat(Polling.await(() -> reloaded.contains("two"), TIMEOUT)).isTrue();
    }
  }

  @Test
  void keepsWatchingAfterTheReloadActionRejectedSettings() throws Exception {
    assertKeepsWatchingAfter(
        () -> {
          throw new WigeonstageException(ErrorCode.INVALID_CONFIGURATION, "bad");
        });
  }

  @Test
  void keepsWatchingAfterTheReloadActionThrewAnError() throws Exception {
    assertKeepsWatchingAfter(
        () -> {
          throw new StackOverflowError("bad");
        });
  }

  private void assertKeepsWatchingAfter(Runnable failure) throws Exception {
    Path file = Files.writeString(directory.resolve("settings.json"), "one");
    SettingsWatch.ReloadAction rejectBadSettings =
        text -> {
          reloaded.add(text);
          if (text.equals("bad")) {
            failure.run();
          }
        };
    try (SettingsWatch watch = SettingsWatch.start(file)) {
      watch.deliverTo(rejectBadSettings);
      Files.writeString(file, "bad");
      assertThat(Polling.await(() -> reloaded.contains("bad"), TIMEOUT)).isTrue();
      Files.writeString(file, "good");
      assertThat(Polling.await(() -> reloaded.contains("good"), TIMEOUT)).isTrue();
    }
  }
}
