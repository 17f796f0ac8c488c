/**
 * Gossip between proxies, the election of the VMs that watch the platform, and the decision whether
 * the configuration in force may still be trusted.
 */
package org.oleanderstep.core.membership;
