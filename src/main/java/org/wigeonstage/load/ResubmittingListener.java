package org.wigeonstage.load;

import org.jspecify.annotations.Nullable;
import org.wigeonstage.http.ResponseListener;

/**
 * Forwards the response to one submission of a request to another listener. If no connection could
 * be made, submits the request again instead, unless this was the last permitted submission.
 */
final class ResubmittingListener implements ResponseListener {

  private final ResponseListener target;
  private final Runnable resubmit;
  private final boolean mayResubmit;

  ResubmittingListener(ResponseListener target, boolean mayResubmit, Runnable resubmit) {
    this.target = target;
    this.mayResubmit = mayResubmit;
    this.resubmit = resubmit;
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
    if (mayResubmit) {
      resubmit.run();
    } else {
      target.onConnectFailure(cause);
    }
  }

  @Override
  public void onFailure(Throwable cause) {
    target.onFailure(cause);
  }
}
