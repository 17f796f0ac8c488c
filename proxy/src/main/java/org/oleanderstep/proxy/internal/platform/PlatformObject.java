package org.oleanderstep.proxy.internal.platform;

import com.google.protobuf.ByteString;

/**
 * An object of the platform as read, with its version.
 *
 * @param version version of the value, for conditional updates; rises also when the platform
 *     returns to an older copy
 */
public record PlatformObject(long version, ByteString value) {}
