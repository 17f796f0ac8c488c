package org.oleanderstep.client.internal;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import org.apache.calcite.avatica.AvaticaSeverity;
import org.apache.calcite.avatica.proto.Common;
import org.apache.calcite.avatica.proto.Responses;
import org.apache.calcite.avatica.remote.ProtobufTranslationImpl;
import org.apache.calcite.avatica.remote.Service;

/** Creates Avatica error responses in the client, so that the driver reports their SQLSTATE. */
public final class ErrorResponses {

  private static final ProtobufTranslationImpl TRANSLATION = new ProtobufTranslationImpl();

  private ErrorResponses() {}

  /** Returns the serialized response of an error. */
  public static byte[] create(String sqlState, String message) {
    try {
      return TRANSLATION.serializeResponse(
          new Service.ErrorResponse(
              List.of(),
              message,
              Service.ErrorResponse.UNKNOWN_ERROR_CODE,
              sqlState,
              AvaticaSeverity.ERROR,
              null));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the SQLSTATE of an error response, or an empty string for anything else. */
  public static String sqlState(byte[] response) {
    try {
      Common.WireMessage wire = Common.WireMessage.parseFrom(response);
      if (!wire.getName().endsWith("ErrorResponse")) {
        return "";
      }
      return Responses.ErrorResponse.parseFrom(wire.getWrappedMessage()).getSqlState();
    } catch (InvalidProtocolBufferException e) {
      return "";
    }
  }
}
