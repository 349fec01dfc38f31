package org.wigeonstage.gateway;

import java.io.Closeable;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;
import org.wigeonstage.telemetry.DecisionLog;

/** Captures the lines of the decision log until it is closed. */
final class DecisionLogCapture extends Handler implements Closeable {

  private final Logger logger = Logger.getLogger(DecisionLog.class.getName());
  private final SimpleFormatter formatter = new SimpleFormatter();
  private final List<String> lines = new CopyOnWriteArrayList<>();

  DecisionLogCapture() {
    logger.addHandler(this);
  }

  /** Returns all lines captured so far. */
  List<String> lines() {
    return lines;
  }

  /** Returns the lines about the given event. */
  List<String> linesOf(String event) {
    return lines.stream().filter(line -> line.contains("\"event\":\"" + event + "\"")).toList();
  }

  @Override
  public void publish(LogRecord record) {
    lines.add(formatter.formatMessage(record));
  }

  @Override
  public void flush() {}

  @Override
  public void close() {
    logger.removeHandler(this);
  }
}
