package org.oleanderstep.proxy.internal.caller;

import java.io.IOException;
import java.io.UncheckedIOException;
import org.apache.calcite.avatica.proto.Common;
import org.apache.calcite.avatica.proto.Responses;
import org.apache.calcite.avatica.remote.Service;

/**
 * The responses to commit and rollback. They are parsed from their encoded form because Avatica
 * does not make their constructors public.
 */
final class TransactionResponses {

  static final Service.Response COMMITTED =
      of(Responses.CommitResponse.class, Responses.CommitResponse.getDefaultInstance());
  static final Service.Response ROLLED_BACK =
      of(Responses.RollbackResponse.class, Responses.RollbackResponse.getDefaultInstance());

  private TransactionResponses() {}

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
