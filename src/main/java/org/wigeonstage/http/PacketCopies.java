package org.wigeonstage.http;

import java.util.ArrayList;
import java.util.List;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.util.MimeHeaders;
import org.wigeonstage.request.HeaderFields;

/**
 * Copies data out of Grizzly's HTTP packets, whose buffers are reused after they were processed.
 */
final class PacketCopies {

  private PacketCopies() {}

  /** Returns a copy of the header fields of a request or response, in order. */
  static HeaderFields copyFields(HttpHeader head) {
    List<HeaderFields.Field> fields = new ArrayList<>();
    MimeHeaders headers = head.getHeaders();
    for (int i = 0; i < headers.size(); i++) {
      fields.add(
          new HeaderFields.Field(headers.getName(i).toString(), FieldValues.read(headers, i)));
    }
    return new HeaderFields(fields);
  }

  /** Returns a copy of the bytes of a part of a body. */
  static byte[] copyBytes(HttpContent content) {
    Buffer buffer = content.getContent();
    byte[] data = new byte[buffer.remaining()];
    buffer.get(data);
    return data;
  }
}
