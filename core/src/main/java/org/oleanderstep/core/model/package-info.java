/** Identifiers and outcomes that all decisions share. */
package org.oleanderstep.core.model;
