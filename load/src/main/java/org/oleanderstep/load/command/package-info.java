/** Commands of the load tool. */
package org.oleanderstep.load.command;
