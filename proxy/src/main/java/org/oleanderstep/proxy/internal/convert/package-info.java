/** Converters between messages of the schema and records of the core. */
package org.oleanderstep.proxy.internal.convert;
