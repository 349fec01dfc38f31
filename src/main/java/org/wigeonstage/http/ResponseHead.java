package org.wigeonstage.http;

import org.wigeonstage.request.HeaderFields;

/**
 * The beginning of an answer.
 *
 * @param status the HTTP status
 * @param fields the header fields
 * @param contentLength the length of the body in bytes, or -1 where the answer does not tell
 * @param isFramed whether the end of the body can be told from the bytes, without the end of the
 *     connection
 */
public record ResponseHead(int status, HeaderFields fields, long contentLength, boolean isFramed) {}
