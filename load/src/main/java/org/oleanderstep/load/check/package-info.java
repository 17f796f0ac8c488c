/** Checks of recorded histories against the invariants of docs/design.md. */
package org.oleanderstep.load.check;
