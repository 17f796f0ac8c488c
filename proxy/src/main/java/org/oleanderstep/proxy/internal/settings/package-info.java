/**
 * Settings of a proxy: reading, defaults and checks.
 *
 * <p>All faults of a file are found in one pass, each with the path of its field.
 */
package org.oleanderstep.proxy.internal.settings;
