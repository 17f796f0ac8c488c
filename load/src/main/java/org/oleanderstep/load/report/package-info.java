/** Measures of a run and its verdict. */
package org.oleanderstep.load.report;
