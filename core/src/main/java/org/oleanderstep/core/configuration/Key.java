package org.oleanderstep.core.configuration;

/**
 * A credential of one organisation; the secret itself is never stored.
 *
 * @param secretSha256 SHA-256 of the secret as 64 lower-case hexadecimal digits
 * @param withdrawn whether the key is revoked but still named in refusals
 */
public record Key(String id, String organisation, String secretSha256, boolean withdrawn) {}
