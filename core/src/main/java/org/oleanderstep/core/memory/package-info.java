/** Limits on the memory, descriptors and time that untrusted callers may take. */
package org.oleanderstep.core.memory;
