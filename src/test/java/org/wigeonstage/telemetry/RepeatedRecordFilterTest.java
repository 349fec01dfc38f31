package org.wigeonstage.telemetry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

class RepeatedRecordFilterTest {

  private Duration now = Duration.ofHours(1);
  private final RepeatedRecordFilter filter = new RepeatedRecordFilter(() -> now);

  private static LogRecord record(Throwable thrown) {
    LogRecord record = new LogRecord(Level.WARNING, "failed");
    record.setThrown(thrown);
    return record;
  }

  @Test
  void repeatedExceptionsPassOnceInAnIntervalAndAreCounted() {
    assertThat(filter.isLoggable(record(new IOException("a")))).isTrue();
    for (int i = 0; i < 500; i++) {
      assertThat(filter.isLoggable(record(new IOException("b")))).isFalse();
    }
    now = now.plus(RepeatedRecordFilter.INTERVAL);
    LogRecord next = record(new IOException("c"));
    assertThat(filter.isLoggable(next)).isTrue();
    assertThat(next.getMessage()).isEqualTo("failed (omitted before: 500)");
  }

  @Test
  void otherKindsOfExceptionsPassBesideIt() {
    assertThat(filter.isLoggable(record(new IOException("a")))).isTrue();
    assertThat(filter.isLoggable(record(new IllegalStateException("a")))).isTrue();
  }
}
