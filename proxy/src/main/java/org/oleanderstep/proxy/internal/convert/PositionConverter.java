package org.oleanderstep.proxy.internal.convert;

import org.oleanderstep.core.position.LogPosition;
import org.oleanderstep.schema.v1.Position;

/** Converts log positions. */
public final class PositionConverter {

  private PositionConverter() {}

  /** Returns the position of a message. */
  public static LogPosition toCore(Position position) {
    return new LogPosition(position.getTerm(), position.getIndex());
  }

  /** Returns the message of a position. */
  public static Position toProto(LogPosition position) {
    return Position.newBuilder().setTerm(position.term()).setIndex(position.index()).build();
  }
}
