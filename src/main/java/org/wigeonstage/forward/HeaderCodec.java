package org.wigeonstage.forward;

import org.wigeonstage.request.HeaderFields;

/** Converts between HTTP header fields and the values that they carry. */
public interface HeaderCodec {

  /**
   * Decodes the header fields of a caller's request.
   *
   * @param fields the received fields
   * @return the decoded values
   */
  RequestFields decodeRequest(HeaderFields fields);

  /**
   * Encodes the header fields of a request to a backend server.
   *
   * @param request the caller's fields
   * @param attempt the values that belong to this attempt
   * @return all fields except those that concern the body or the connection
   */
  HeaderFields encodeRequest(RequestFields request, AttemptFields attempt);

  /**
   * Decodes the header fields of a backend server's response.
   *
   * @param fields the received fields
   * @return the decoded values
   */
  ResponseFields decodeResponse(HeaderFields fields);

  /**
   * Returns whether a line is a header field that a backend server repeats in a stream, before the
   * fields of an event.
   *
   * @param line the line, without its end
   * @return whether it is such a field with a valid value
   */
  boolean isRepeatedField(String line);
}
