package org.wigeonstage.http;

/** Thrown when the octets of a message violate the syntax of HTTP/1.1. */
final class MalformedMessageException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  MalformedMessageException(String message) {
    super(message);
  }
}
