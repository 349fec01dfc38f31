package org.wigeonstage.http;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.jspecify.annotations.Nullable;
import org.wigeonstage.request.HttpCall;

/** Sends a call and waits for the complete response. */
public final class BlockingCall implements ResponseListener {

  /** Several times the largest page of a list that the platform's store sends. */
  private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

  private final CompletableFuture<HttpResponse> response = new CompletableFuture<>();
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private int status;

  private BlockingCall() {}

  /**
   * Sends a call and waits for the complete response.
   *
   * @param client the client that sends the call
   * @param target the address of the server
   * @param call the call to send
   * @param fields further header fields
   * @param timeout how long to wait for the complete response
   * @return the response
   * @throws CallFailedException if no complete response arrived within the timeout
   */
  public static HttpResponse execute(
      HttpClient client,
      Endpoint target,
      HttpCall call,
      Map<String, String> fields,
      Duration timeout) {
    BlockingCall listener = new BlockingCall();
    ClientExchange exchange = client.send(target, call, fields, listener);
    try {
      return listener.response.get(timeout.toMillis(), TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      exchange.abort();
      throw new CallFailedException(
          "no complete response from " + target + " within " + timeout.toMillis() + " ms", true, e);
    } catch (ExecutionException e) {
      exchange.abort();
      throw e.getCause() instanceof CallFailedException failure
          ? failure
          : new CallFailedException("call to " + target + " failed", true, e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      exchange.abort();
      throw new CallFailedException("interrupted while calling " + target, true, e);
    }
  }

  @Override
  public void onStart(int newStatus, @Nullable String contentType) {
    status = newStatus;
  }

  @Override
  public void onData(byte[] data) {
    if (response.isDone()) {
      return;
    }
    if (body.size() + data.length > MAX_RESPONSE_BYTES) {
      response.completeExceptionally(
          new CallFailedException(
              "the response exceeds " + MAX_RESPONSE_BYTES + " bytes", true, null));
      return;
    }
    body.writeBytes(data);
  }

  @Override
  public void onComplete() {
    response.complete(new HttpResponse(status, body.toByteArray()));
  }

  @Override
  public void onConnectFailure(Throwable cause) {
    response.completeExceptionally(
        new CallFailedException("can't connect to the server", false, cause));
  }

  @Override
  public void onFailure(Throwable cause) {
    response.completeExceptionally(
        new CallFailedException("connection lost before the complete response", true, cause));
  }
}
