package org.oleanderstep.proxy.internal.caller;

import java.io.IOException;
import java.io.UncheckedIOException;
import org.apache.calcite.avatica.proto.Common;
import org.apache.calcite.avatica.proto.Responses;
import org.apache.calcite.avatica.remote.Service;

/** Answers whose constructors the protocol library keeps to itself. */
final class Answers {

  static final Service.Response COMMITTED =
      of(Responses.CommitResponse.class, Responses.CommitResponse.getDefaultInstance());
  static final Service.Response ROLLED_BACK =
      of(Responses.RollbackResponse.class, Responses.RollbackResponse.getDefaultInstance());

  private Answers() {}

  private static Service.Response of(Class<?> type, com.google.protobuf.Message message) {
    Common.WireMessage wire =
        Common.WireMessage.newBuilder()
            .setName(type.getName())
            .setWrappedMessage(message.toByteString())
            .build();
    try {
      return Protocol.TRANSLATION.parseResponse(wire.toByteArray());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
