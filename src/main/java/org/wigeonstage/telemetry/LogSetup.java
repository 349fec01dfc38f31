package org.wigeonstage.telemetry;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.LongSupplier;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.common.Json;

/** Sets up logs on standard error: JSON lines, or text for a terminal. */
public final class LogSetup {

  /** Loggers are held weakly by their registry; this reference keeps the level set. */
  private static final Logger GRIZZLY = Logger.getLogger("org.glassfish.grizzly");

  /** The logger whose messages are JSON objects already. */
  private static final String DECISIONS = DecisionLog.class.getName();

  private LogSetup() {}

  /**
   * Replaces the handlers of the root logger.
   *
   * @param process the name of the process, which stands in each JSON line
   * @param format {@code json}, {@code text} or {@code auto}
   */
  public static void configure(String process, String format) {
    ConsoleHandler handler = new ConsoleHandler();
    handler.setFormatter(isJson(format) ? new JsonLines(process) : new TextLines());
    install(handler);
  }

  /**
   * Sends logs to standard output without ever blocking; lines that can't be written in time are
   * dropped and counted.
   *
   * @param process the name of the process, which stands in each JSON line
   * @param format {@code json}, {@code text} or {@code auto}
   * @return returns the number of lines dropped so far
   */
  public static LongSupplier configureNonBlocking(String process, String format) {
    BoundedLogHandler handler =
        new BoundedLogHandler(
            System.out, isJson(format) ? new JsonLines(process) : new TextLines());
    install(handler);
    return handler::dropped;
  }

  private static void install(Handler handler) {
    Logger root = Logger.getLogger("");
    for (Handler previous : root.getHandlers()) {
      root.removeHandler(previous);
    }
    handler.setLevel(Level.INFO);
    root.addHandler(handler);
    GRIZZLY.setLevel(Level.WARNING);
  }

  private static boolean isJson(String format) {
    return format.equals("json") || (format.equals("auto") && System.console() == null);
  }

  /** One JSON object a line. */
  private static final class JsonLines extends Formatter {

    private final String process;

    JsonLines(String process) {
      this.process = process;
    }

    @Override
    public String format(LogRecord record) {
      String message = formatMessage(record);
      if (DECISIONS.equals(record.getLoggerName()) && message.startsWith("{")) {
        return "{\"time\":\""
            + record.getInstant()
            + "\",\"process\":\""
            + process
            + "\","
            + message.substring(1)
            + System.lineSeparator();
      }
      ObjectNode line =
          JsonNodeFactory.instance
              .objectNode()
              .put("time", record.getInstant().toString())
              .put("level", record.getLevel().getName())
              .put("process", process)
              .put("logger", record.getLoggerName())
              .put("message", message);
      @Nullable Throwable thrown = record.getThrown();
      if (thrown != null) {
        line.put("error", thrown.toString());
      }
      return Json.write(line) + System.lineSeparator();
    }
  }

  /** One line of text a record. */
  private static final class TextLines extends Formatter {

    @Override
    public String format(LogRecord record) {
      @Nullable Throwable thrown = record.getThrown();
      return String.format(
          "%1$tT.%1$tL %2$-7s %3$s%4$s%n",
          record.getMillis(),
          record.getLevel(),
          formatMessage(record),
          thrown == null ? "" : ": " + thrown);
    }
  }
}
