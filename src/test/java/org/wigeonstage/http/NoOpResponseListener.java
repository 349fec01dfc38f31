package org.wigeonstage.http;

import org.jspecify.annotations.Nullable;

/** Takes no notice of an answer, but for what a test overrides. */
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
