package org.wigeonstage.wire;

import java.nio.ByteBuffer;
import org.wigeonstage.handover.Message;

/** A message that is encoded once, to be sent on several links. */
public final class EncodedMessage {

  private final byte[] frame;

  private EncodedMessage(byte[] frame) {
    this.frame = frame;
  }

  /**
   * Encodes a message.
   *
   * @param message the message
   * @return the encoded message
   * @throws BadFrameException if the message can't be encoded
   */
  public static EncodedMessage of(Message message) {
    byte[] encoded = MessageEncoder.encode(message);
    return new EncodedMessage(
        ByteBuffer.allocate(FrameFilter.LENGTH_BYTES + encoded.length)
            .putInt(encoded.length)
            .put(encoded)
            .array());
  }

  /** Returns a buffer with the frame, which consists of the length and the message. */
  ByteBuffer frame() {
    return ByteBuffer.wrap(frame);
  }
}
