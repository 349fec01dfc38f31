package org.wigeonstage.wire;

import java.io.IOException;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.wigeonstage.capacity.SpeedReport;
import org.wigeonstage.crash.CrashReport;
import org.wigeonstage.handover.LoadReport;
import org.wigeonstage.handover.Message;
import org.wigeonstage.handover.WaitingCount;
import org.wigeonstage.request.HttpCall;
import org.wigeonstage.request.IdempotencyKey;
import org.wigeonstage.request.RequestCost;
import org.wigeonstage.request.RequestSpec;

/**
 * Encodes messages as MessagePack: the ordinal of the type, then the components of the record.
 * Error codes and outcomes are also encoded as ordinals, so the order of their constants is part of
 * the protocol.
 */
public final class MessageEncoder {

  private MessageEncoder() {}

  /**
   * Encodes a message.
   *
   * @param message the message
   * @return the bytes of one frame, without its length
   * @throws BadFrameException if the message can't be encoded
   */
  public static byte[] encode(Message message) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      write(packer, message);
      return packer.toByteArray();
    } catch (IOException e) {
      throw new BadFrameException("can't encode " + message.getClass().getSimpleName(), e);
    }
  }

  private static void write(MessageBufferPacker packer, Message message) throws IOException {
    if (message instanceof Message.RequestMessage requestMessage) {
      writeRequestMessage(packer, requestMessage);
    } else if (message instanceof Message.Hello hello) {
      writeHello(packType(packer, MessageType.HELLO), hello);
    } else if (message instanceof Message.Ping ping) {
      packType(packer, MessageType.PING).packLong(ping.sequence()).packLong(ping.configVersion());
    } else if (message instanceof Message.Pong pong) {
      writePong(packType(packer, MessageType.PONG), pong);
    } else if (message instanceof Message.Leaving) {
      packType(packer, MessageType.LEAVING);
    } else if (message instanceof Message.ConfigSnapshot snapshot) {
      packType(packer, MessageType.CONFIG_SNAPSHOT)
          .packLong(snapshot.version())
          .packString(snapshot.document());
    } else if (message instanceof Message.GatewayLoad load) {
      writeGatewayLoad(packType(packer, MessageType.GATEWAY_LOAD), load);
    } else if (message instanceof Message.Crash crash) {
      writeCrash(packType(packer, MessageType.CRASH), crash.report());
    } else if (message instanceof Message.ServerLeaving leaving) {
      packType(packer, MessageType.SERVER_LEAVING)
          .packString(leaving.runId())
          .packLong(leaving.age().toMillis());
    } else if (message instanceof Message.LinkConfirmed) {
      packType(packer, MessageType.LINK_CONFIRMED);
    } else if (message instanceof Message.LinkClosing closing) {
      packType(packer, MessageType.LINK_CLOSING).packString(closing.reason());
    } else if (message instanceof Message.RolloutStatus status) {
      RolloutCodec.write(packType(packer, MessageType.ROLLOUT_STATUS), status.report());
    } else if (message instanceof Message.RolloutCommand command) {
      RolloutCodec.write(packType(packer, MessageType.ROLLOUT_COMMAND), command.directive());
    } else if (message instanceof Message.StoreEra storeEra) {
      packType(packer, MessageType.STORE_ERA).packLong(storeEra.era());
    } else if (message instanceof Message.ServerSpeeds speeds) {
      writeServerSpeeds(packType(packer, MessageType.SERVER_SPEEDS), speeds);
    } else if (message instanceof Message.ConfigurationMessage configuration) {
      writeConfigurationMessage(packer, configuration);
    }
  }

  private static void writeConfigurationMessage(
      MessageBufferPacker packer, Message.ConfigurationMessage message) throws IOException {
    if (message instanceof Message.ConfigurationKnown known) {
      packType(packer, MessageType.CONFIGURATION_KNOWN);
      ConfigurationCodec.write(packer, known.known());
    } else if (message instanceof Message.ConfigurationRequest request) {
      packType(packer, MessageType.CONFIGURATION_REQUEST)
          .packLong(request.id())
          .packLong(request.heldVersion());
    } else if (message instanceof Message.ConfigurationReply reply) {
      packType(packer, MessageType.CONFIGURATION_REPLY).packLong(reply.id());
      ConfigurationCodec.write(packer, reply.report());
    }
  }

  private static void writeServerSpeeds(MessageBufferPacker packer, Message.ServerSpeeds speeds)
      throws IOException {
    packer.packArrayHeader(speeds.reports().size());
    for (SpeedReport report : speeds.reports()) {
      packer
          .packString(report.runId())
          .packInt(report.slownessPercent())
          .packInt(report.weightPercent());
    }
  }

  private static void writeGatewayLoad(MessageBufferPacker packer, Message.GatewayLoad load)
      throws IOException {
    packer
        .packBoolean(load.isComplete())
        .packBoolean(load.isLeaving())
        .packMapHeader(load.runningByServer().size());
    for (Map.Entry<String, Integer> entry : load.runningByServer().entrySet()) {
      packer.packString(entry.getKey()).packInt(entry.getValue());
    }
    packer.packArrayHeader(load.waiting().size());
    for (WaitingCount waiting : load.waiting()) {
      packer
          .packString(waiting.pool())
          .packInt(waiting.accountRank())
          .packInt(waiting.routeRank())
          .packInt(waiting.count());
    }
    writeUnitsByAccount(packer, load.totalUsage());
    writeUnitsByAccount(packer, load.recentUsage());
    writeUnitsByAccount(packer, load.toleratedBurstUsed());
  }

  private static void writeCrash(MessageBufferPacker packer, CrashReport report)
      throws IOException {
    packer
        .packString(report.crashId())
        .packString(report.pool())
        .packLong(report.age().toMillis())
        .packBoolean(report.isRefuted())
        .packBoolean(report.isTrial())
        .packArrayHeader(report.victims().size());
    for (List<String> victim : report.victims()) {
      writeTexts(packer, victim);
    }
    writeTexts(packer, report.cleared());
  }

  private static void writeTexts(MessageBufferPacker packer, Collection<String> texts)
      throws IOException {
    packer.packArrayHeader(texts.size());
    for (String text : texts) {
      packer.packString(text);
    }
  }

  private static void writeUnitsByAccount(
      MessageBufferPacker packer, Map<String, Long> unitsByAccount) throws IOException {
    packer.packMapHeader(unitsByAccount.size());
    for (Map.Entry<String, Long> entry : unitsByAccount.entrySet()) {
      packer.packString(entry.getKey()).packLong(entry.getValue());
    }
  }

  private static void writeRequestMessage(
      MessageBufferPacker packer, Message.RequestMessage message) throws IOException {
    if (message instanceof Message.Chunk chunk) {
      packTypeAndId(packer, MessageType.CHUNK, chunk).packLong(chunk.offset());
      packer.packBinaryHeader(chunk.data().length).addPayload(chunk.data());
    } else if (message instanceof Message.Acknowledge acknowledge) {
      packTypeAndId(packer, MessageType.ACKNOWLEDGE, acknowledge).packLong(acknowledge.offset());
    } else if (message instanceof Message.Offer offer) {
      packTypeAndId(packer, MessageType.OFFER, offer).packLong(offer.incarnation());
      packer
          .packLong(offer.startBy().toEpochMilli())
          .packBoolean(offer.attachOnly())
          .packLong(offer.membersChangedAtMillis());
      writeSpec(packer, offer.spec());
    } else if (message instanceof Message.Accepted) {
      packTypeAndId(packer, MessageType.ACCEPTED, message);
    } else if (message instanceof Message.Refused refused) {
      packTypeAndId(packer, MessageType.REFUSED, refused).packInt(refused.reason().ordinal());
    } else if (message instanceof Message.Rejected rejected) {
      packTypeAndId(packer, MessageType.REJECTED, rejected)
          .packInt(rejected.reason().ordinal())
          .packInt(rejected.outcome().ordinal());
    } else if (message instanceof Message.Withdraw withdraw) {
      packTypeAndId(packer, MessageType.WITHDRAW, withdraw)
          .packLong(withdraw.incarnation())
          .packLong(withdraw.startBy().toEpochMilli());
    } else if (message instanceof Message.Dispatched) {
      packTypeAndId(packer, MessageType.DISPATCHED, message);
    } else if (message instanceof Message.Head head) {
      packTypeAndId(packer, MessageType.HEAD, head).packInt(head.status());
      writeOptional(packer, head.contentType());
    } else if (message instanceof Message.End end) {
      packTypeAndId(packer, MessageType.END, end)
          .packLong(end.length())
          .packInt(end.outcome().ordinal());
    } else if (message instanceof Message.Resume resume) {
      packTypeAndId(packer, MessageType.RESUME, resume)
          .packLong(resume.incarnation())
          .packLong(resume.startBy().toEpochMilli())
          .packLong(resume.offset());
    } else if (message instanceof Message.Cancel) {
      packTypeAndId(packer, MessageType.CANCEL, message);
    }
  }

  private static MessageBufferPacker packType(MessageBufferPacker packer, MessageType type)
      throws IOException {
    packer.packInt(type.ordinal());
    return packer;
  }

  private static MessageBufferPacker packTypeAndId(
      MessageBufferPacker packer, MessageType type, Message.RequestMessage message)
      throws IOException {
    packer.packInt(type.ordinal()).packString(message.id().value());
    return packer;
  }

  private static void writeHello(MessageBufferPacker packer, Message.Hello hello)
      throws IOException {
    packer
        .packInt(hello.protocolVersion())
        .packString(hello.role())
        .packString(hello.name())
        .packLong(hello.incarnation())
        .packLong(hello.configVersion());
  }

  private static void writePong(MessageBufferPacker packer, Message.Pong pong) throws IOException {
    LoadReport load = pong.load();
    packer
        .packLong(pong.sequence())
        .packLong(pong.configVersion())
        .packInt(load.running())
        .packInt(load.windowSize())
        .packInt(load.waiting())
        .packLong(load.outstandingWork())
        .packFloat((float) load.workPerSecond())
        .packInt(load.rankOfLowestWaitingTier())
        .packArrayHeader(load.headroomByTier().size());
    for (int headroom : load.headroomByTier()) {
      packer.packInt(headroom);
    }
  }

  private static void writeSpec(MessageBufferPacker packer, RequestSpec spec) throws IOException {
    packer
        .packString(spec.account())
        .packInt(spec.tier().rank())
        .packString(spec.pool())
        .packBoolean(spec.nonIdempotent());
    writeKey(packer, spec.key());
    RequestCost cost = spec.cost();
    packer.packInt(cost.promptTokens()).packInt(cost.outputTokens()).packLong(cost.prefixHash());
    HttpCall call = spec.call();
    packer.packString(call.method()).packString(call.path());
    writeOptional(packer, call.contentType());
    packer.packBinaryHeader(call.body().length).addPayload(call.body());
    writeOptional(packer, spec.traceParent());
  }

  private static void writeKey(MessageBufferPacker packer, @Nullable IdempotencyKey key)
      throws IOException {
    writeOptional(packer, key == null ? null : key.value());
    if (key != null) {
      packer.packString(key.requestDigest());
    }
  }

  private static void writeOptional(MessageBufferPacker packer, @Nullable String text)
      throws IOException {
    if (text == null) {
      packer.packNil();
    } else {
      packer.packString(text);
    }
  }
}
