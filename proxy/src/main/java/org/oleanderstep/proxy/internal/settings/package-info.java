/**
 * Settings of a proxy: reading, defaults and checks.
 *
 * <p>All errors in a file are reported in one pass, each with the path of its field.
 */
package org.oleanderstep.proxy.internal.settings;
