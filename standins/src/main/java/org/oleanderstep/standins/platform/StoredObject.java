package org.oleanderstep.standins.platform;

import com.google.protobuf.ByteString;

/** A value with the version of its last update. */
record StoredObject(long version, ByteString value) {}
