package org.wigeonstage.http;

import java.util.ArrayList;
import java.util.List;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.util.MimeHeaders;
import org.wigeonstage.request.HeaderFields;

/** Copies of what the codec read, which by itself refers to buffers that are used again. */
final class CodecParts {

  private CodecParts() {}

  /** Returns the header fields of a request or an answer, in order. */
  static HeaderFields fieldsOf(HttpHeader head) {
    List<HeaderFields.Field> fields = new ArrayList<>();
    MimeHeaders headers = head.getHeaders();
    for (int i = 0; i < headers.size(); i++) {
      fields.add(
          new HeaderFields.Field(headers.getName(i).toString(), headers.getValue(i).toString()));
    }
    return new HeaderFields(fields);
  }

  /** Returns the bytes of a part of a body. */
  static byte[] bytesOf(HttpContent content) {
    Buffer buffer = content.getContent();
    byte[] data = new byte[buffer.remaining()];
    buffer.get(data);
    return data;
  }
}
