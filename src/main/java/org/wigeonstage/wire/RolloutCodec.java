package org.wigeonstage.wire;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.wigeonstage.fleet.StoreVersion;
import org.wigeonstage.rollout.ResponseCounts;
import org.wigeonstage.rollout.RolloutDirective;
import org.wigeonstage.rollout.RolloutOrder;
import org.wigeonstage.rollout.RolloutReport;
import org.wigeonstage.rollout.RolloutState;
import org.wigeonstage.rollout.RolloutStep;
import org.wigeonstage.rollout.TimeHistogram;

/** Encodes and decodes the content of messages about roll-outs. */
final class RolloutCodec {

  private RolloutCodec() {}

  static void write(MessagePacker packer, RolloutReport report) throws IOException {
    writeOrder(packer, report.order());
    packer
        .packLong(report.age().toMillis())
        .packBoolean(report.hasLeftOthers())
        .packInt(report.runningAtOthers())
        .packArrayHeader(report.counts().size());
    for (ResponseCounts counts : report.counts()) {
      packer
          .packString(counts.route())
          .packString(counts.serverId())
          .packInt(counts.responses())
          .packInt(counts.failures());
      writeHistogram(packer, counts.firstParts());
      writeHistogram(packer, counts.durations());
    }
  }

  static void write(MessagePacker packer, RolloutDirective directive) throws IOException {
    writeOrder(packer, directive.order());
    packer.packInt(directive.step().ordinal()).packLong(directive.age().toMillis());
  }

  private static void writeOrder(MessagePacker packer, RolloutOrder order) throws IOException {
    packer
        .packString(order.name())
        .packString(order.pool())
        .packString(order.target())
        .packLong(order.duration().toMillis())
        .packLong(order.version().era())
        .packLong(order.version().revision())
        .packInt(order.state().ordinal());
  }

  private static void writeHistogram(MessagePacker packer, TimeHistogram histogram)
      throws IOException {
    packer.packMapHeader(histogram.countsByBucket().size());
    for (Map.Entry<Integer, Integer> entry : histogram.countsByBucket().entrySet()) {
      packer.packInt(entry.getKey()).packInt(entry.getValue());
    }
  }

  static RolloutReport readReport(MessageUnpacker in) throws IOException {
    RolloutOrder order = readOrder(in);
    Duration age = Duration.ofMillis(in.unpackLong());
    boolean hasLeftOthers = in.unpackBoolean();
    int runningAtOthers = in.unpackInt();
    int size = in.unpackArrayHeader();
    List<ResponseCounts> counts = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      counts.add(
          new ResponseCounts(
              MessageDecoder.readText(in),
              MessageDecoder.readText(in),
              in.unpackInt(),
              in.unpackInt(),
              readHistogram(in),
              readHistogram(in)));
    }
    return new RolloutReport(order, age, hasLeftOthers, runningAtOthers, counts);
  }

  static RolloutDirective readDirective(MessageUnpacker in) throws IOException {
    RolloutOrder order = readOrder(in);
    RolloutStep step = MessageDecoder.enumConstant(RolloutStep.values(), in.unpackInt());
    return new RolloutDirective(order, step, Duration.ofMillis(in.unpackLong()));
  }

  private static RolloutOrder readOrder(MessageUnpacker in) throws IOException {
    String name = MessageDecoder.readText(in);
    String pool = MessageDecoder.readText(in);
    String target = MessageDecoder.readText(in);
    long durationMillis = in.unpackLong();
    if (durationMillis <= 0) {
      throw new BadFrameException("the duration must be above 0, was " + durationMillis, null);
    }
    return new RolloutOrder(
        name,
        pool,
        target,
        Duration.ofMillis(durationMillis),
        new StoreVersion(in.unpackLong(), in.unpackLong()),
        MessageDecoder.enumConstant(RolloutState.values(), in.unpackInt()));
  }

  private static TimeHistogram readHistogram(MessageUnpacker in) throws IOException {
    int size = in.unpackMapHeader();
    Map<Integer, Integer> counts = new HashMap<>();
    for (int i = 0; i < size; i++) {
      int bucket = in.unpackInt();
      if (bucket < 0 || bucket >= TimeHistogram.BUCKETS) {
        throw new BadFrameException("there is no bucket " + bucket, null);
      }
      counts.put(bucket, in.unpackInt());
    }
    return new TimeHistogram(counts);
  }
}
