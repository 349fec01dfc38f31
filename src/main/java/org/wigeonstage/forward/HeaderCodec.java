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
}
