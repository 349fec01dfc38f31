package org.wigeonstage.load;

import org.jspecify.annotations.Nullable;
import org.wigeonstage.http.ResponseListener;

/**
 * Forwards the events of a call to another listener. If no connection was made, it submits the
 * request again instead, as long as submissions remain.
 */
final class RetryingListener implements ResponseListener {

  private final ResponseListener target;
  private final Runnable retry;
  private final boolean mayRetry;

  RetryingListener(ResponseListener target, boolean mayRetry, Runnable retry) {
    this.target = target;
    this.mayRetry = mayRetry;
    this.retry = retry;
  }

  @Override
  public void onStart(int status, @Nullable String contentType) {
    target.onStart(status, contentType);
  }

  @Override
  public void onData(byte[] data) {
    target.onData(data);
  }

  @Override
  public void onComplete() {
    target.onComplete();
  }

  @Override
  public void onConnectFailure(Throwable cause) {
    if (mayRetry) {
      retry.run();
    } else {
      target.onConnectFailure(cause);
    }
  }

  @Override
  public void onFailure(Throwable cause) {
    target.onFailure(cause);
  }
}
