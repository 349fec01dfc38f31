package org.wigeonstage.forward;

import java.util.Optional;
import org.wigeonstage.request.HeaderFields;

/**
 * What the header fields of a backend server's answer say.
 *
 * @param requestId the request that is answered
 * @param isSigned whether the answer carries the server's signature
 * @param isNotRun whether the server promises that the request has not run
 * @param isEncoded whether the body is not the plain body of the server
 * @param closesConnection whether the server closes the connection behind the answer
 * @param forwardedFields the fields that the caller gets as they are
 */
public record ResponseFields(
    Optional<String> requestId,
    boolean isSigned,
    boolean isNotRun,
    boolean isEncoded,
    boolean closesConnection,
    HeaderFields forwardedFields) {}
