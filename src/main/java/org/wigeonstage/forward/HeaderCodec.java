package org.wigeonstage.forward;

import org.wigeonstage.request.HeaderFields;

/** Translates between header fields and their meaning. */
public interface HeaderCodec {

  /**
   * Reads the fields of a caller's request.
   *
   * @param fields the fields as they were sent
   * @return their meaning
   */
  RequestFields decodeRequest(HeaderFields fields);

  /**
   * Writes the fields for a backend server.
   *
   * @param request the caller's fields
   * @param attempt what belongs to this attempt
   * @return all fields but those of the body and the connection
   */
  HeaderFields encodeRequest(RequestFields request, AttemptFields attempt);

  /**
   * Reads the fields of a backend server's answer.
   *
   * @param fields the fields as they were sent
   * @return their meaning
   */
  ResponseFields decodeResponse(HeaderFields fields);
}
