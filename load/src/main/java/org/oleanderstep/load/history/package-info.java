/** Recording and reading of histories: one JSON line for each operation. */
package org.oleanderstep.load.history;
