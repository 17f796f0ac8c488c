/** What the HTTP servers of both stand-ins share. */
package org.oleanderstep.standins.http;
