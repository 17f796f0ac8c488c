/** Command-line interface of oleanderstep. */
package org.oleanderstep.cli;
