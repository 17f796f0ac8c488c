/** Parts of the member stand-in; not for use by other packages. */
package org.oleanderstep.standins.member.internal;
