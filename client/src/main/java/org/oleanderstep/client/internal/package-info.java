/** Parts of the HTTP clients that applications do not use directly. */
package org.oleanderstep.client.internal;
