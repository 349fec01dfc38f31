package org.wigeonstage.http;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Responses that violate the syntax of HTTP, and sound ones that look unusual. Each character
 * stands for one octet.
 */
public final class MalformedResponses {

  /** The body of the sound responses, and of the others as their server means it. */
  public static final String BODY = "done";

  private static final String STATUS_LINE = "HTTP/1.1 200 OK";
  private static final String LENGTH = "Content-Length: 4\r\n";
  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";
  private static final String CHUNKED_BODY = "4\r\ndone\r\n0\r\n\r\n";
  private static final int OCTETS = 256;
  private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";

  private MalformedResponses() {}

  /**
   * Returns all malformed responses.
   *
   * @param fields the sound fields that each of them begins with
   * @return the responses
   */
  public static List<String> all(String fields) {
    return Stream.of(
            malformedStatusLines().map(line -> response(line, fields + LENGTH, BODY)),
            malformedHeaderLines().map(line -> withFraming(fields, line + "\r\n" + LENGTH, BODY)),
            malformedLengths()
                .map(length -> withFraming(fields, "Content-Length: " + length + "\r\n", BODY)),
            malformedTransferEncodings()
                .flatMap(
                    coding ->
                        Stream.of(
                            withFraming(fields, codingField(coding), CHUNKED_BODY),
                            withFraming(fields, codingField(coding) + LENGTH, BODY))),
            contradictoryFraming().map(framing -> withFraming(fields, framing, CHUNKED_BODY)),
            misspeltFraming().map(framing -> withFraming(fields, framing, BODY)),
            malformedChunks().map(body -> withFraming(fields, CHUNKED, body)),
            tooLongBodies().map(framedBody -> withFraming(fields, framedBody[0], framedBody[1])),
            Stream.of(
                response("HTTP/1.0 200 OK", fields + CHUNKED, CHUNKED_BODY),
                "HTTP/1.1 100 Continue\r\nX Field: a\r\n\r\n" + withFraming(fields, LENGTH, BODY),
                "HTTP/1.1 100 Continue\r\n\r\n"
                    + withFraming(fields, "X Field: a\r\n" + LENGTH, BODY)))
        .flatMap(responses -> responses)
        .toList();
  }

  /**
   * Returns sound responses with the body {@link #BODY}.
   *
   * @param fields the fields that each of them begins with
   * @return the responses
   */
  public static List<String> sound(String fields) {
    Stream<String> heads =
        Stream.of(
            LENGTH,
            "content-length:4\r\n",
            "CONTENT-LENGTH: 0004 \r\n",
            "X-Empty:\r\nX-Blank: \r\n" + LENGTH,
            "X-Colon: a:b: http://c\r\n" + LENGTH,
            "X-Octets: \u00e9\u0080\u00ff\ta\r\n" + LENGTH,
            TOKEN_PUNCTUATION + "azAZ09: a\r\n" + LENGTH,
            "Content-Lengths: 5\r\nXContent-Length: 6\r\n" + LENGTH,
            "Connection: close\r\n");
    Stream<String> chunkedBodies =
        Stream.of(
            CHUNKED_BODY,
            "2\r\ndo\r\n2\r\nne\r\n0\r\n\r\n",
            "0004\r\ndone\r\n000\r\n\r\n",
            "4 \r\ndone\r\n0\r\n\r\n",
            "4\r\ndone\r\n0\r\nX-Trailer: a\r\nX-Empty:\r\n\r\n");
    return Stream.of(
            heads.map(head -> withFraming(fields, head, BODY)),
            chunkedBodies.map(body -> withFraming(fields, CHUNKED, body)),
            Stream.of(
                withFraming(fields, "transfer-encoding: Chunked\r\n", CHUNKED_BODY),
                response("HTTP/1.0 200 OK", fields + LENGTH, BODY),
                response("HTTP/1.1 200", fields + LENGTH, BODY),
                response("HTTP/1.1 200 ", fields + LENGTH, BODY),
                response("HTTP/1.1 200 \u00e9\t!", fields + LENGTH, BODY),
                withFraming(fields, LENGTH, BODY).replace("\r\n", "\n"),
                "HTTP/1.1 100 Continue\r\n\r\n" + withFraming(fields, LENGTH, BODY)))
        .flatMap(responses -> responses)
        .toList();
  }

  private static String response(String statusLine, String fields, String body) {
    return statusLine + "\r\n" + fields + "\r\n" + body;
  }

  private static String withFraming(String fields, String framing, String body) {
    return response(STATUS_LINE, fields + framing, body);
  }

  private static String codingField(String coding) {
    return "Transfer-Encoding: " + coding + "\r\n";
  }

  private static Stream<String> malformedStatusLines() {
    return Stream.of(
        "HTTP/1.1 0200 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 2x0 OK",
        "HTTP/1.1 +20 OK",
        "HTTP/1.1 200OK",
        "HTTP/1.1 200\0OK",
        "HTTP/1.1 200 O\0K",
        "HTTP/1.1 200 O\rK",
        "HTTP/1.1 200 O\u0001K",
        "HTTP/1.1 ",
        "HTTP/1.1",
        "HTTP/1.1200 OK",
        " HTTP/1.1 200 OK",
        "HTTP/1.1\t200 OK",
        "HTTP/1.1  200 OK",
        "HTTP/2.0 200 OK",
        "HTTP/1 200 OK",
        "HTTP/1.x 200 OK",
        "HTTP/11 200 OK",
        "http/1.1 200 OK",
        "HTTP 200 OK",
        "ICY 200 OK",
        "200 OK",
        "nonsense",
        "{}",
        "\u0001\u0002",
        "X-Field: a");
  }

  /**
   * Lines that are no fields, or whose name is followed or interrupted by what no name may have.
   */
  private static Stream<String> malformedHeaderLines() {
    Stream<String> octetsInNames =
        IntStream.range(0, OCTETS)
            .mapToObj(octet -> String.valueOf((char) octet))
            .filter(octet -> !isTokenCharacter(octet.charAt(0)) && !octet.equals(":"))
            .map(octet -> "X-Fi" + octet + "eld: a");
    Stream<String> others =
        Stream.of(
            "nonsense",
            "HTTP/1.1 200 OK",
            "HTTP/1.1 200 OK: x",
            "{\"error\": \"out of memory\"}",
            "{",
            "\u0001\u0002\u0003\u0080\u00ff",
            "\0",
            " ",
            "\t",
            " X-Field: a",
            "\tX-Field: a",
            "\u000bX-Field: a",
            ": a",
            ":",
            " : a",
            "X-Field : a",
            "X-Field\t: a",
            "X-Field\0: a",
            "X-Field\r: a",
            "X-Field: a\rb",
            "X-Field: a\r",
            "X-Field: \0",
            "X-Field: a\u0001",
            "X-Field: a\u007f",
            "X-Field: a\r\n b",
            "X-Field: a\r\n\tb",
            "X-Field: a\r\n ");
    return Stream.concat(octetsInNames, others);
  }

  private static boolean isTokenCharacter(char octet) {
    return octet < 0x80
        && (Character.isLetterOrDigit(octet) || TOKEN_PUNCTUATION.indexOf(octet) >= 0);
  }

  private static Stream<String> malformedLengths() {
    return Stream.of(
        "4x",
        "x4",
        "+4",
        "-4",
        "0x4",
        "4.0",
        "4e0",
        "",
        "4, 5",
        "4, 4",
        "4 2",
        "4\t2",
        "4\r2",
        "4\0",
        "4,",
        "4;",
        "\"4\"",
        "four",
        "\u00b2",
        "9223372036854775808",
        "99999999999999999999",
        "4\r\n 2");
  }

  private static Stream<String> malformedTransferEncodings() {
    return Stream.of(
        "chunkd",
        "chunke\u0000",
        "chunked\u00e9",
        "chun ked",
        "xchunked",
        "\"chunked\"",
        "chunked;q=1",
        "chunked,",
        ",chunked",
        "chunked, chunked",
        "chunked, gzip",
        "gzip, chunked",
        "gzip",
        "identity",
        "",
        "\r\n chunked");
  }

  /** Fields that contradict each other, or that only one of two parsers might read. */
  private static Stream<String> contradictoryFraming() {
    return Stream.of(
        CHUNKED + LENGTH,
        LENGTH + CHUNKED,
        CHUNKED + CHUNKED,
        CHUNKED + codingField("gzip"),
        codingField("gzip") + CHUNKED,
        LENGTH + LENGTH,
        LENGTH + "Content-Length: 14\r\n",
        "Content-Length: 14\r\n" + LENGTH,
        LENGTH + "content-length: 5\r\n",
        "Transfer-Encoding : chunked\r\n",
        "Transfer-Encoding\t: chunked\r\n",
        "Transfer-\0Encoding: chunked\r\n",
        "Transfer-Encoding chunked\r\n",
        "Transfer Encoding: chunked\r\n",
        " " + CHUNKED,
        "X-Field: a\r\n " + CHUNKED);
  }

  private static Stream<String> misspeltFraming() {
    return Stream.of(
        " Content-Length: 4\r\n",
        "Content-Length : 4\r\n",
        "Content-Length\t: 4\r\n",
        "Content-Length\r: 4\r\n",
        "Content-Length 4\r\n",
        "Content-Length=4\r\n",
        "Content Length: 4\r\n",
        "Content-\tLength: 4\r\n",
        "Content-\0Length: 4\r\n",
        "Content-\u0001Length: 4\r\n",
        "Content-\u00e9Length: 4\r\n",
        "\0Content-Length: 4\r\n",
        "Content-Len\r\ngth: 4\r\n",
        "\u00efContent-Length: 4\r\n");
  }

  private static Stream<String> malformedChunks() {
    return Stream.of(
        "\r\n\r\n",
        "x\r\ndone\r\n0\r\n\r\n",
        "\r\ndone\r\n0\r\n\r\n",
        " 4\r\ndone\r\n0\r\n\r\n",
        "-4\r\ndone\r\n0\r\n\r\n",
        "+4\r\ndone\r\n0\r\n\r\n",
        "0x4\r\ndone\r\n0\r\n\r\n",
        "4 4\r\ndone\r\n0\r\n\r\n",
        "4\0\r\ndone\r\n0\r\n\r\n",
        "4\r4\r\ndone\r\n0\r\n\r\n",
        "4,\r\ndone\r\n0\r\n\r\n",
        "8000000000000000\r\ndone\r\n0\r\n\r\n",
        "ffffffffffffffff4\r\ndone\r\n0\r\n\r\n",
        "4\r\ndone0\r\n\r\n",
        "4\r\ndonex\r\n0\r\n\r\n",
        "4\r\ndonexx0\r\n\r\n",
        "4\r\ndone\r0\r\n\r\n",
        "4\r\ndone\r\n\r\n0\r\n\r\n",
        "2\r\ndone\r\n0\r\n\r\n",
        "4\r\ndone\r\n0\r\nnonsense\r\n\r\n",
        "4\r\ndone\r\n0\r\nmore data\r\n0\r\n\r\n",
        "4\r\ndone\r\n0\r\nX Trailer: a\r\n\r\n",
        "4\r\ndone\r\n0\r\nX-Trailer : a\r\n\r\n",
        "4\r\ndone\r\n0\r\n X-Trailer: a\r\n\r\n",
        "4\r\ndone\r\n0\r\nX-Tr\0ailer: a\r\n\r\n",
        "4\r\ndone\r\n0\r\nX-Trailer: \u0001\r\n\r\n",
        "4\r\ndone\r\n0\r\n: a\r\n\r\n");
  }

  /** Fields, and a body that is longer than they or its chunks say. */
  private static Stream<String[]> tooLongBodies() {
    return Stream.of(
        new String[] {"Content-Length: 0\r\n", BODY},
        new String[] {"Content-Length: 3\r\n", BODY},
        new String[] {"Content-Length: 2\r\n", "a\r\nb\r\n"},
        new String[] {LENGTH, "done, and more"},
        new String[] {LENGTH, "doneHTTX"},
        new String[] {CHUNKED, "4\r\ndone\r\n0\r\n\r\n4\r\nmore\r\n0\r\n\r\n"},
        new String[] {CHUNKED, "4\r\ndone\r\n0\r\nid: 2\ndata: more\n\n\r\n0\r\n\r\n"},
        new String[] {CHUNKED, "0\r\nid: 1\ndata: more\n\n\r\n0\r\n\r\n"});
  }

  /** Returns a response with the octets that can't be printed as escape sequences. */
  public static String printable(String response) {
    StringBuilder text = new StringBuilder();
    for (char octet : response.toCharArray()) {
      text.append(octet >= ' ' && octet <= '~' ? octet : "\\x%02x".formatted((int) octet));
    }
    return text.toString();
  }
}
