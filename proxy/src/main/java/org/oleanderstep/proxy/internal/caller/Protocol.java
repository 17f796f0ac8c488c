package org.oleanderstep.proxy.internal.caller;

import org.apache.calcite.avatica.remote.ProtobufTranslation;
import org.apache.calcite.avatica.remote.ProtobufTranslationImpl;

/** The encoding of Avatica messages. */
final class Protocol {

  /** Stateless, so one object serves all threads. */
  static final ProtobufTranslation TRANSLATION = new ProtobufTranslationImpl();

  private Protocol() {}
}
