/** Stand-ins for the systems that oleanderstep meets, for tests and the demo; not shipped. */
package org.oleanderstep.standins;
