/**
 * Stand-in for a member of a database group: real SQL over the Avatica protocol, a replicated log
 * and a control port with terms, fencing and promotion.
 */
package org.oleanderstep.standins.member;
