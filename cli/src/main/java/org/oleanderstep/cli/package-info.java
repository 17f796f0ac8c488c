/** The command line of oleanderstep. */
package org.oleanderstep.cli;
