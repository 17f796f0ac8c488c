package org.oleanderstep.proxy.internal.caller;

import org.apache.calcite.avatica.remote.ProtobufTranslation;
import org.apache.calcite.avatica.remote.ProtobufTranslationImpl;

/** Encodes and decodes Avatica messages. */
final class Protocol {

  /** Thread-safe, because it is stateless. */
  static final ProtobufTranslation TRANSLATION = new ProtobufTranslationImpl();

  private Protocol() {}
}
