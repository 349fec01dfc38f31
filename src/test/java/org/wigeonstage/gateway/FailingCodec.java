package org.wigeonstage.gateway;

import org.wigeonstage.forward.AttemptFields;
import org.wigeonstage.forward.HeaderCodec;
import org.wigeonstage.forward.RequestFields;
import org.wigeonstage.forward.ResponseFields;
import org.wigeonstage.request.HeaderFields;

/** Delegates to a codec, and throws for requests and responses with certain IDs. */
final class FailingCodec implements HeaderCodec {

  /** The prefix of the IDs of requests that can't be sent to a server. */
  static final String UNSENDABLE = "unsendable";

  /** The prefix of the IDs of responses whose head can't be handled. */
  static final String UNREADABLE = "unreadable";

  /** The prefix of the IDs of requests that can't be read. */
  static final String UNDECODABLE = "undecodable";

  /** A line of a stream that can't be handled. */
  static final String FAILING_LINE = "failing: 1";

  private final HeaderCodec delegate;

  FailingCodec(HeaderCodec delegate) {
    this.delegate = delegate;
  }

  @Override
  public RequestFields decodeRequest(HeaderFields fields) {
    RequestFields decoded = delegate.decodeRequest(fields);
    failIf(decoded.requestId().startsWith(UNDECODABLE));
    return decoded;
  }

  @Override
  public HeaderFields encodeRequest(RequestFields request, AttemptFields attempt) {
    failIf(request.requestId().startsWith(UNSENDABLE));
    return delegate.encodeRequest(request, attempt);
  }

  @Override
  public ResponseFields decodeResponse(HeaderFields fields) {
    ResponseFields decoded = delegate.decodeResponse(fields);
    failIf(decoded.requestId().orElse("").startsWith(UNREADABLE));
    return decoded;
  }

  @Override
  public boolean isRepeatedField(String line) {
    failIf(line.equals(FAILING_LINE));
    return delegate.isRepeatedField(line);
  }

  private static void failIf(boolean mustFail) {
    if (mustFail) {
      throw new StackOverflowError("injected by the test");
    }
  }
}
