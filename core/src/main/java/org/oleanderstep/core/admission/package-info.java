/**
 * Rates and bursts of organisations, summed over all VMs.
 *
 * <p>The {@link org.oleanderstep.core.admission.ShareTable} at the platform divides every rate and
 * burst into slots and says which VM holds each slot. {@link
 * org.oleanderstep.core.admission.ShareLedger} keeps the token buckets of one process within its
 * slots, and moves unused tokens between processes so that their sum never exceeds the burst.
 */
package org.oleanderstep.core.admission;
