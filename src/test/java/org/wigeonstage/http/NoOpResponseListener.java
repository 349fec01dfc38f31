package org.wigeonstage.http;

import org.jspecify.annotations.Nullable;

/** Takes no notice of an answer, but for what a test overrides. */
class NoOpResponseListener implements ResponseListener {

  @Override
  public void head(ResponseHead head) {}

  @Override
  public void began(int status, @Nullable String contentType) {}

  @Override
  public void continued(byte[] data) {}

  @Override
  public void ended() {}

  @Override
  public void notConnected(Throwable cause) {}

  @Override
  public void broken(Throwable cause) {}
}
