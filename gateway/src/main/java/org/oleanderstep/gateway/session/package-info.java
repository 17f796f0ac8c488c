/** Sessions of callers: admission, statements, transactions and answers. */
package org.oleanderstep.gateway.session;
