/**
 * Declarations as files: reads and checks a directory, reports errors with file and field, compares
 * and publishes declarations.
 */
package org.oleanderstep.proxy.internal.declarations;
