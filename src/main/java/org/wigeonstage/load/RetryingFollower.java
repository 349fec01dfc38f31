package org.wigeonstage.load;

import org.jspecify.annotations.Nullable;
import org.wigeonstage.http.ResponseListener;

/** Passes a call on, and makes it again elsewhere where no connection was made. */
final class RetryingFollower implements ResponseListener {

  private final ResponseListener target;
  private final Runnable retry;
  private final boolean mayRetry;

  RetryingFollower(ResponseListener target, boolean mayRetry, Runnable retry) {
    this.target = target;
    this.mayRetry = mayRetry;
    this.retry = retry;
  }

  @Override
  public void began(int status, @Nullable String contentType) {
    target.began(status, contentType);
  }

  @Override
  public void continued(byte[] data) {
    target.continued(data);
  }

  @Override
  public void ended() {
    target.ended();
  }

  @Override
  public void notConnected(Throwable cause) {
    if (mayRetry) {
      retry.run();
    } else {
      target.notConnected(cause);
    }
  }

  @Override
  public void broken(Throwable cause) {
    target.broken(cause);
  }
}
