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
import org.wigeonstage.common.MonotonicClock;

/** Configures logging to standard error or output, as JSON lines or as text for a terminal. */
public final class LogSetup {

  /** The log manager refers to loggers weakly; without this reference, the level would be lost. */
  private static final Logger GRIZZLY_LOGGER = Logger.getLogger("org.glassfish.grizzly");

  /** Logs each exception in a filter; the filters report what concerns a request themselves. */
  private static final Logger FILTER_CHAIN_LOGGER =
      Logger.getLogger("org.glassfish.grizzly.filterchain.DefaultFilterChain");

  /** The name of the logger whose messages already are JSON objects. */
  private static final String DECISION_LOGGER_NAME = DecisionLog.class.getName();

  private LogSetup() {}

  /**
   * Sends all logs to standard error, replacing the handlers of the root logger.
   *
   * @param process the name of the process, written to each JSON line
   * @param format {@code json}, {@code text}, or {@code auto}: text on a terminal, else JSON
   */
  public static void configure(String process, String format) {
    ConsoleHandler handler = new ConsoleHandler();
    handler.setFormatter(isJson(format) ? new JsonFormatter(process) : new TextFormatter());
    install(handler);
  }

  /**
   * Sends all logs to standard output without blocking the logging threads. Lines that cannot be
   * written fast enough are dropped and counted.
   *
   * @param process the name of the process, written to each JSON line
   * @param format {@code json}, {@code text}, or {@code auto}: text on a terminal, else JSON
   * @return supplies the number of lines dropped so far
   */
  public static LongSupplier configureNonBlocking(String process, String format) {
    BoundedLogHandler handler =
        new BoundedLogHandler(
            System.out, isJson(format) ? new JsonFormatter(process) : new TextFormatter());
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
    GRIZZLY_LOGGER.setLevel(Level.WARNING);
    FILTER_CHAIN_LOGGER.setFilter(new RepeatedRecordFilter(MonotonicClock.system()));
  }

  private static boolean isJson(String format) {
    return format.equals("json") || (format.equals("auto") && System.console() == null);
  }

  /** Formats each record as one line with a JSON object. */
  private static final class JsonFormatter extends Formatter {

    private final String process;

    JsonFormatter(String process) {
      this.process = process;
    }

    @Override
    public String format(LogRecord record) {
      String message = formatMessage(record);
      if (DECISION_LOGGER_NAME.equals(record.getLoggerName()) && message.startsWith("{")) {
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

  /** Formats each record as one line of text. */
  private static final class TextFormatter extends Formatter {

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
