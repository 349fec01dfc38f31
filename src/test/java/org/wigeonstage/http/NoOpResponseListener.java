package org.wigeonstage.http;

import org.jspecify.annotations.Nullable;

/** A response listener that does nothing; tests override what they need. */
class NoOpResponseListener implements ResponseListener {

  @Override
  public void onHead(ResponseHead head) {}

  @Override
  public void onStart(int status, @Nullable String contentType) {}

  @Override
  public void onData(byte[] data) {}

  @Override
  public void onComplete() {}

  @Override
  public void onConnectFailure(Throwable cause) {}

  @Override
  public void onFailure(Throwable cause) {}
}
