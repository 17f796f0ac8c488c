/** Requests that run at most once: outcomes, request ids and retries. */
package org.oleanderstep.core.idempotency;
