/**
 * Distributed rate limiting: the rate and burst of an organisation hold over all VMs together.
 *
 * <p>The {@link org.oleanderstep.core.admission.ShareTable} stored at the platform divides every
 * rate and burst into slots and assigns each slot to a VM. {@link
 * org.oleanderstep.core.admission.AdmissionController} sizes the token buckets of one process by
 * the slots of its VM, and transfers unused tokens between processes so that their sum never
 * exceeds the burst.
 */
package org.oleanderstep.core.admission;
