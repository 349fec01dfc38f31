package org.wigeonstage.http;

/**
 * The connections and unfinished requests of a server at one point in time.
 *
 * @param connections the number of open connections
 * @param unansweredRequests the number of requests that were read completely but whose responses
 *     are not yet delivered completely
 * @param undeliveredResponses the number of responses of which some written bytes are not yet
 *     handed to the operating system
 */
public record InFlightWork(int connections, int unansweredRequests, int undeliveredResponses) {}
