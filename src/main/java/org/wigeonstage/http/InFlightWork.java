package org.wigeonstage.http;

/**
 * What is open at a server.
 *
 * @param connections the number of connections
 * @param unansweredRequests requests that were read whole and whose answers are not yet taken
 * @param undeliveredResponses answers of which the callers have not taken all that was given
 */
public record InFlightWork(int connections, int unansweredRequests, int undeliveredResponses) {}
