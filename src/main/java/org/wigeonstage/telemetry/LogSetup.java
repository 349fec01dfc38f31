package org.wigeonstage.telemetry;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.jspecify.annotations.Nullable;

/** Sets up logs on standard error: JSON lines, or text for a terminal. */
public final class LogSetup {

  /** Loggers are held weakly by their registry; this reference keeps the level set. */
  private static final Logger GRIZZLY = Logger.getLogger("org.glassfish.grizzly");

  private LogSetup() {}

  /**
   * Replaces the handlers of the root logger.
   *
   * @param process the name of the process, which stands in each JSON line
   * @param format {@code json}, {@code text} or {@code auto}
   */
  public static void apply(String process, String format) {
    Logger root = Logger.getLogger("");
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    ConsoleHandler handler = new ConsoleHandler();
    handler.setFormatter(isJson(format) ? new JsonLines(process) : new TextLines());
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
      ObjectNode line =
          JsonNodeFactory.instance
              .objectNode()
              .put("time", record.getInstant().toString())
              .put("level", record.getLevel().getName())
              .put("process", process)
              .put("logger", record.getLoggerName())
              .put("message", formatMessage(record));
      @Nullable Throwable thrown = record.getThrown();
      if (thrown != null) {
        line.put("error", thrown.toString());
      }
      return line + System.lineSeparator();
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
