/** Log positions of databases and what sessions require of them. */
package org.oleanderstep.core.position;
