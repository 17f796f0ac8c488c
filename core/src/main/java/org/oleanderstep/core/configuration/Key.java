package org.oleanderstep.core.configuration;

/**
 * A credential of one organisation. Only the digest of its secret is stored.
 *
 * @param secretSha256 SHA-256 of the secret as 64 lower-case hexadecimal digits
 * @param withdrawn whether the key is revoked; a refusal can then still name it as withdrawn
 */
public record Key(String id, String organisation, String secretSha256, boolean withdrawn) {}
