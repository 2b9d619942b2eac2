package org.daisyscale.core.membership;

/** The program that runs on a VM. */
public enum VmRole {
    ROUTER,
    BACKEND_SERVER
}
