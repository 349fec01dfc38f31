package org.wigeonstage.http;

import org.wigeonstage.request.HeaderFields;

/**
 * A call to another server with all its header fields, unlike {@link
 * org.wigeonstage.request.HttpCall}, which has only a media type.
 *
 * @param method the HTTP method
 * @param target the path and query
 * @param host the value of the {@code Host} field
 * @param fields the other header fields, without those that describe the body or the connection
 * @param body the body, possibly empty; must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
public record OutboundCall(
    String method, String target, String host, HeaderFields fields, byte[] body) {}
