package org.wigeonstage.wire;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.memory.Buffers;
import org.wigeonstage.handover.Message;

/** Decodes and encodes frames. A frame is a length of four bytes followed by a message. */
final class FrameFilter extends BaseFilter {

  static final int LENGTH_BYTES = 4;

  private final int maxFrameBytes;

  FrameFilter(int maxFrameBytes) {
    this.maxFrameBytes = maxFrameBytes;
  }

  @Override
  public NextAction handleRead(FilterChainContext context) {
    Buffer input = context.getMessage();
    if (input.remaining() < LENGTH_BYTES) {
      return context.getStopAction(input);
    }
    int messageBytes = input.getInt(input.position());
    if (messageBytes <= 0 || messageBytes > maxFrameBytes) {
      throw new BadFrameException(
          "frame length must be 1 to " + maxFrameBytes + " bytes, was " + messageBytes, null);
    }
    int frameEnd = input.position() + LENGTH_BYTES + messageBytes;
    if (input.limit() < frameEnd) {
      return context.getStopAction(input);
    }
    Buffer remainder = input.limit() > frameEnd ? input.split(frameEnd) : null;
    input.position(input.position() + LENGTH_BYTES);
    byte[] frame = new byte[messageBytes];
    input.get(frame);
    input.tryDispose();
    context.setMessage(MessageDecoder.decode(frame));
    return context.getInvokeAction(remainder);
  }

  @Override
  public NextAction handleWrite(FilterChainContext context) {
    Object message = context.getMessage();
    EncodedMessage encoded =
        message instanceof EncodedMessage alreadyEncoded
            ? alreadyEncoded
            : EncodedMessage.of((Message) message);
    context.setMessage(Buffers.wrap(null, encoded.frame()));
    return context.getInvokeAction();
  }
}
