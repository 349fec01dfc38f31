package org.wigeonstage.http;

import com.google.common.flogger.FluentLogger;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.common.InvalidDocumentException;
import org.wigeonstage.common.Json;
import org.wigeonstage.common.WigeonstageException;

/**
 * Runs a request handler on an executor, and responds with problem details if the handler throws an
 * exception.
 */
public final class ExceptionMappingHandler implements RequestHandler {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final RequestHandler handler;
  private final Executor executor;

  /**
   * Creates a handler.
   *
   * @param handler the handler to run; it may block only if the executor is meant for blocking
   *     tasks
   * @param executor the executor that runs the handler
   */
  public ExceptionMappingHandler(RequestHandler handler, Executor executor) {
    this.handler = handler;
    this.executor = executor;
  }

  @Override
  public void handle(ServerExchange exchange) {
    executor.execute(() -> call(exchange));
  }

  private void call(ServerExchange exchange) {
    try {
      handler.handle(exchange);
    } catch (InvalidDocumentException e) {
      var body = ProblemDetails.json(e.code(), "the document is not valid; no change was applied");
      body.set("faults", Json.toTree(e.faults()));
      exchange.respond(e.code().httpStatus(), ProblemDetails.MEDIA_TYPE, body.toString());
    } catch (WigeonstageException e) {
      String detail = e.getMessage() == null ? e.code().text() : e.getMessage();
      ProblemDetails.respond(exchange, e.code(), detail, Map.of());
    } catch (RuntimeException | Error e) {
      logger.atSevere().atMostEvery(10, TimeUnit.SECONDS).withCause(e).log(
          "request handler threw an unexpected exception");
      ProblemDetails.respond(exchange, ErrorCode.INTERNAL, "internal error", Map.of());
    }
  }
}
