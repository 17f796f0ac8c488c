/** Choice of the member that runs a statement. */
package org.oleanderstep.core.routing;
