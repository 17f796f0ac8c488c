/** Log positions of databases, and the positions that sessions require for their reads. */
package org.oleanderstep.core.position;
