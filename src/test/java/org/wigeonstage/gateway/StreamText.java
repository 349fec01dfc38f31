package org.wigeonstage.gateway;

import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** The text of event streams, as servers send it and callers receive it. */
final class StreamText {

  static final String LAST_CHUNK = "0\r\n\r\n";

  private StreamText() {}

  /** Returns the head of a stream that is sent in chunks. */
  static String chunkedHead(String id) {
    return head(id, "200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
  }

  /** Returns the head of a signed response. */
  static String head(String id, String status, String fields) {
    return "HTTP/1.1 "
        + status
        + "\r\nAttempt-Id: "
        + id
        + "\r\nResponse-Signature: s\r\n"
        + fields
        + "\r\n";
  }

  static String event(int id) {
    return "id: " + id + "\ndata: event " + id + "\n\n";
  }

  static String events(int first, int last) {
    return IntStream.rangeClosed(first, last)
        .mapToObj(StreamText::event)
        .collect(Collectors.joining());
  }

  /** Returns events, each in a chunk of its own. */
  static String chunkedEvents(int first, int last) {
    return IntStream.rangeClosed(first, last)
        .mapToObj(id -> chunk(event(id)))
        .collect(Collectors.joining());
  }

  static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  /** Returns the body of a response whose chunks are events, with the last chunk as it was sent. */
  static String bodyOf(String response) {
    return response
        .substring(response.indexOf("\r\n\r\n") + 4)
        .replaceAll("[0-9a-f]+\r\n((?s:.*?)\n\n)\r\n", "$1");
  }
}
