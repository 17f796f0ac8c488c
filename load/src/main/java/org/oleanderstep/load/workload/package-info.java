/** Sessions that run operations at intended times and record what they were told. */
package org.oleanderstep.load.workload;
