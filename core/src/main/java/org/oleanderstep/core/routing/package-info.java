/** Routing of statements to the members of a database group. */
package org.oleanderstep.core.routing;
