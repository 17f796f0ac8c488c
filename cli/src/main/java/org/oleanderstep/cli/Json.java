package org.oleanderstep.cli;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.ListValue;
import com.google.protobuf.Message;
import com.google.protobuf.Struct;
import com.google.protobuf.Value;
import com.google.protobuf.util.JsonFormat;
import java.util.List;

/** Builds a JSON object for the output of a command. Not thread-safe. */
final class Json {

  private final Struct.Builder fields = Struct.newBuilder();

  private Json() {}

  static Json object() {
    return new Json();
  }

  Json with(String name, String value) {
    fields.putFields(name, Value.newBuilder().setStringValue(value).build());
    return this;
  }

  Json with(String name, long value) {
    fields.putFields(name, Value.newBuilder().setNumberValue((double) value).build());
    return this;
  }

  Json with(String name, boolean value) {
    fields.putFields(name, Value.newBuilder().setBoolValue(value).build());
    return this;
  }

  Json with(String name, Struct value) {
    fields.putFields(name, Value.newBuilder().setStructValue(value).build());
    return this;
  }

  Json with(String name, List<Json> items) {
    ListValue.Builder list = ListValue.newBuilder();
    items.forEach(item -> list.addValues(Value.newBuilder().setStructValue(item.fields)));
    fields.putFields(name, Value.newBuilder().setListValue(list).build());
    return this;
  }

  Json withStrings(String name, List<String> items) {
    ListValue.Builder list = ListValue.newBuilder();
    items.forEach(item -> list.addValues(Value.newBuilder().setStringValue(item)));
    fields.putFields(name, Value.newBuilder().setListValue(list).build());
    return this;
  }

  /**
   * Formats declarations as an operator would write them, without fields that have the default
   * value.
   */
  static String printDeclarations(Message message) {
    try {
      return JsonFormat.printer().print(message);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException(e);
    }
  }

  static String print(Message message) {
    try {
      return JsonFormat.printer().alwaysPrintFieldsWithNoPresence().print(message);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public String toString() {
    return print(fields.build());
  }
}
