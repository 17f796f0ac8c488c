/** Connection pools of database members, and the observed state of each member. */
package org.oleanderstep.gateway.target;
