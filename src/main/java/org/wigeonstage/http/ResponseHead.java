package org.wigeonstage.http;

import org.wigeonstage.request.HeaderFields;

/**
 * The head of a response.
 *
 * @param status the HTTP status code as the server has sent it, perhaps none that HTTP defines
 * @param fields the header fields
 * @param contentLength the length of the body in bytes, or -1 if the response does not state it
 * @param isFramed whether the response itself shows where its body ends; otherwise, the body ends
 *     when the connection is closed
 */
public record ResponseHead(int status, HeaderFields fields, long contentLength, boolean isFramed) {}
