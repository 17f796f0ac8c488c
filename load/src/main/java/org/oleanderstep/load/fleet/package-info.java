/**
 * A fleet of real processes on one machine: platform, members of database groups and proxies, with
 * the links between them.
 */
package org.oleanderstep.load.fleet;
