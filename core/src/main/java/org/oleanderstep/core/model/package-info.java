/** Identifiers and request outcomes shared by all packages. */
package org.oleanderstep.core.model;
