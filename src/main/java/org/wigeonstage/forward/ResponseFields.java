package org.wigeonstage.forward;

import java.util.Optional;
import org.wigeonstage.request.HeaderFields;

/**
 * The values in the header fields of a backend server's response.
 *
 * @param requestId the ID of the request that the response belongs to
 * @param isSigned whether the response carries the server's signature
 * @param declaresNotRun whether the server declares that it did not run the request
 * @param isEncoded whether the body has a content encoding, such as compression
 * @param closesConnection whether the server closes the connection after the response
 * @param announcesLeaving whether the server announces that it is shutting down
 * @param forwardedFields the header fields that are forwarded to the caller unchanged
 */
public record ResponseFields(
    Optional<String> requestId,
    boolean isSigned,
    boolean declaresNotRun,
    boolean isEncoded,
    boolean closesConnection,
    boolean announcesLeaving,
    HeaderFields forwardedFields) {}
