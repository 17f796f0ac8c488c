/**
 * Declared objects as files: reading a directory, checks with the place of each fault, and diffs.
 */
package org.oleanderstep.proxy.internal.declarations;
