/**
 * Reading of the platform's list of VMs, in the JSON format of Prometheus's HTTP service discovery. The list lags
 * behind the real state of the VMs.
 */
package org.daisyscale.router.internal.vmlist;
