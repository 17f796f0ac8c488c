/** Implementation of the HTTP clients; not part of the API for applications. */
package org.oleanderstep.client.internal;
