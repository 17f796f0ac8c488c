/** Where work may be placed: failure domains that an operator evacuates, and what follows. */
package org.oleanderstep.core.placement;
