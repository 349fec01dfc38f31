package org.wigeonstage.wire;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.wigeonstage.capacity.SpeedReport;
import org.wigeonstage.common.ErrorCode;
import org.wigeonstage.crash.CrashReport;
import org.wigeonstage.handover.LoadReport;
import org.wigeonstage.handover.Message;
import org.wigeonstage.handover.WaitingCount;
import org.wigeonstage.request.HttpCall;
import org.wigeonstage.request.IdempotencyKey;
import org.wigeonstage.request.Outcome;
import org.wigeonstage.request.RequestCost;
import org.wigeonstage.request.RequestId;
import org.wigeonstage.request.RequestSpec;
import org.wigeonstage.request.Tier;

/** Decodes the messages that {@link MessageEncoder} encodes. */
public final class MessageDecoder {

  private MessageDecoder() {}

  /**
   * Decodes a message.
   *
   * @param frame the bytes of one frame, without its length
   * @return the message
   * @throws BadFrameException if the bytes are not exactly one valid message
   */
  public static Message decode(byte[] frame) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(frame)) {
      Message message = read(unpacker);
      if (unpacker.hasNext()) {
        throw new BadFrameException("frame has extra bytes after its message", null);
      }
      return message;
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      throw new BadFrameException("frame contains no valid message", e);
    }
  }

  private static Message read(MessageUnpacker in) throws IOException {
    MessageType type = enumConstant(MessageType.values(), in.unpackInt());
    return switch (type) {
      case HELLO -> readHello(in);
      case PING -> new Message.Ping(in.unpackLong(), in.unpackLong());
      case PONG -> readPong(in);
      case LEAVING -> new Message.Leaving();
      case CONFIG_SNAPSHOT -> new Message.ConfigSnapshot(in.unpackLong(), readText(in));
      case GATEWAY_LOAD -> readGatewayLoad(in);
      case CRASH -> new Message.Crash(readCrashReport(in));
      case SERVER_LEAVING ->
          new Message.ServerLeaving(readText(in), Duration.ofMillis(in.unpackLong()));
      case LINK_CONFIRMED -> new Message.LinkConfirmed();
      case LINK_CLOSING -> new Message.LinkClosing(readText(in));
      case ROLLOUT_STATUS -> new Message.RolloutStatus(RolloutCodec.readReport(in));
      case ROLLOUT_COMMAND -> new Message.RolloutCommand(RolloutCodec.readDirective(in));
      case STORE_ERA -> new Message.StoreEra(in.unpackLong());
      case SERVER_SPEEDS -> readServerSpeeds(in);
      case CONFIGURATION_KNOWN -> new Message.ConfigurationKnown(ConfigurationCodec.readKnown(in));
      case CONFIGURATION_REQUEST ->
          new Message.ConfigurationRequest(in.unpackLong(), in.unpackLong());
      case CONFIGURATION_REPLY ->
          new Message.ConfigurationReply(in.unpackLong(), ConfigurationCodec.readReport(in));
      default -> readRequestMessage(type, RequestId.of(readText(in)), in);
    };
  }

  private static Message readServerSpeeds(MessageUnpacker in) throws IOException {
    int count = in.unpackArrayHeader();
    List<SpeedReport> reports = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      reports.add(new SpeedReport(readText(in), in.unpackInt(), in.unpackInt()));
    }
    return new Message.ServerSpeeds(reports);
  }

  private static Message readGatewayLoad(MessageUnpacker in) throws IOException {
    boolean isComplete = in.unpackBoolean();
    boolean isLeaving = in.unpackBoolean();
    int serverCount = in.unpackMapHeader();
    Map<String, Integer> runningByServer = new HashMap<>();
    for (int i = 0; i < serverCount; i++) {
      runningByServer.put(readText(in), in.unpackInt());
    }
    int waitingCountSize = in.unpackArrayHeader();
    List<WaitingCount> waiting = new ArrayList<>();
    for (int i = 0; i < waitingCountSize; i++) {
      waiting.add(new WaitingCount(readText(in), in.unpackInt(), in.unpackInt(), in.unpackInt()));
    }
    return new Message.GatewayLoad(
        isComplete,
        isLeaving,
        runningByServer,
        waiting,
        readUnitsByAccount(in),
        readUnitsByAccount(in),
        readUnitsByAccount(in));
  }

  private static CrashReport readCrashReport(MessageUnpacker in) throws IOException {
    String crashId = readText(in);
    String pool = readText(in);
    Duration age = Duration.ofMillis(in.unpackLong());
    boolean isRefuted = in.unpackBoolean();
    boolean isTrial = in.unpackBoolean();
    int victimCount = in.unpackArrayHeader();
    List<List<String>> victims = new ArrayList<>();
    for (int i = 0; i < victimCount; i++) {
      victims.add(readTexts(in));
    }
    return new CrashReport(
        crashId, pool, age, isRefuted, isTrial, victims, new HashSet<>(readTexts(in)));
  }

  private static List<String> readTexts(MessageUnpacker in) throws IOException {
    int count = in.unpackArrayHeader();
    List<String> texts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      texts.add(readText(in));
    }
    return texts;
  }

  private static Map<String, Long> readUnitsByAccount(MessageUnpacker in) throws IOException {
    int accountCount = in.unpackMapHeader();
    Map<String, Long> unitsByAccount = new HashMap<>();
    for (int i = 0; i < accountCount; i++) {
      unitsByAccount.put(readText(in), in.unpackLong());
    }
    return unitsByAccount;
  }

  private static Message readRequestMessage(MessageType type, RequestId id, MessageUnpacker in)
      throws IOException {
    return switch (type) {
      case OFFER ->
          new Message.Offer(
              id, in.unpackLong(), readTime(in), in.unpackBoolean(), in.unpackLong(), readSpec(in));
      case ACCEPTED -> new Message.Accepted(id);
      case REFUSED -> new Message.Refused(id, enumConstant(ErrorCode.values(), in.unpackInt()));
      case REJECTED ->
          new Message.Rejected(
              id,
              enumConstant(ErrorCode.values(), in.unpackInt()),
              enumConstant(Outcome.values(), in.unpackInt()));
      case WITHDRAW -> new Message.Withdraw(id, in.unpackLong(), readTime(in));
      case DISPATCHED -> new Message.Dispatched(id);
      case HEAD -> new Message.Head(id, in.unpackInt(), readOptional(in));
      case CHUNK -> new Message.Chunk(id, in.unpackLong(), readBytes(in));
      case END ->
          new Message.End(id, in.unpackLong(), enumConstant(Outcome.values(), in.unpackInt()));
      case ACKNOWLEDGE -> new Message.Acknowledge(id, in.unpackLong());
      case RESUME -> new Message.Resume(id, in.unpackLong(), readTime(in), in.unpackLong());
      case CANCEL -> new Message.Cancel(id);
      default ->
          throw new BadFrameException(
              "message type " + type + " does not refer to a request", null);
    };
  }

  private static Message.Hello readHello(MessageUnpacker in) throws IOException {
    return new Message.Hello(
        in.unpackInt(), readText(in), readText(in), in.unpackLong(), in.unpackLong());
  }

  private static Message.Pong readPong(MessageUnpacker in) throws IOException {
    long sequence = in.unpackLong();
    long configVersion = in.unpackLong();
    LoadReport load =
        new LoadReport(
            in.unpackInt(),
            in.unpackInt(),
            in.unpackInt(),
            in.unpackLong(),
            in.unpackFloat(),
            in.unpackInt(),
            readHeadroomByTier(in));
    return new Message.Pong(sequence, configVersion, load);
  }

  private static List<Integer> readHeadroomByTier(MessageUnpacker in) throws IOException {
    int size = in.unpackArrayHeader();
    if (size != LoadReport.REPORTED_TIERS) {
      throw new BadFrameException(
          "load report has " + size + " tiers, expected " + LoadReport.REPORTED_TIERS, null);
    }
    List<Integer> headroomByTier = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      headroomByTier.add(in.unpackInt());
    }
    return headroomByTier;
  }

  private static RequestSpec readSpec(MessageUnpacker in) throws IOException {
    String account = readText(in);
    Tier tier = Tier.of(in.unpackInt());
    String pool = readText(in);
    boolean nonIdempotent = in.unpackBoolean();
    IdempotencyKey key = readKey(account, in);
    RequestCost cost = new RequestCost(in.unpackInt(), in.unpackInt(), in.unpackLong());
    HttpCall call = new HttpCall(readText(in), readText(in), readOptional(in), readBytes(in));
    return new RequestSpec(account, tier, pool, nonIdempotent, key, cost, call, readOptional(in));
  }

  private static @Nullable IdempotencyKey readKey(String account, MessageUnpacker in)
      throws IOException {
    String value = readOptional(in);
    return value == null ? null : new IdempotencyKey(account, value, readText(in));
  }

  private static Instant readTime(MessageUnpacker in) throws IOException {
    return Instant.ofEpochMilli(in.unpackLong());
  }

  private static byte[] readBytes(MessageUnpacker in) throws IOException {
    return in.readPayload(in.unpackBinaryHeader());
  }

  /**
   * Reads a text. {@link MessageUnpacker#unpackString} would allocate a decoding buffer of 16 KB
   * for each message.
   */
  static String readText(MessageUnpacker in) throws IOException {
    return new String(in.readPayload(in.unpackRawStringHeader()), StandardCharsets.UTF_8);
  }

  private static @Nullable String readOptional(MessageUnpacker in) throws IOException {
    return in.tryUnpackNil() ? null : readText(in);
  }

  static <T> T enumConstant(T[] constants, int ordinal) {
    if (ordinal < 0 || ordinal >= constants.length) {
      throw new BadFrameException(
          "enum ordinal must be at least 0 and below " + constants.length + ", was " + ordinal,
          null);
    }
    return constants[ordinal];
  }
}
