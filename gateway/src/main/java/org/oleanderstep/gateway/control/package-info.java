/** The data that the control thread passes to the traffic thread: configuration and members. */
package org.oleanderstep.gateway.control;
