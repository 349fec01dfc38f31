package org.wigeonstage.http;

import org.wigeonstage.request.HeaderFields;

/**
 * A call with all its header fields.
 *
 * @param method the HTTP method
 * @param target the path with its query
 * @param host the value of the field {@code Host}
 * @param fields the other fields, without those that describe the body or the connection
 * @param body the body, not to be modified; may be empty
 */
@SuppressWarnings("ArrayRecordComponent")
public record OutboundCall(
    String method, String target, String host, HeaderFields fields, byte[] body) {}
