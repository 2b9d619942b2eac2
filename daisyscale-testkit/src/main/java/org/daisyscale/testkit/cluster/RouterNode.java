package org.daisyscale.testkit.cluster;

/**
 * A started router. Immutable but for the process.
 *
 * @param id its id
 * @param dataCentre its data centre
 * @param callerPort the port for callers
 * @param operatorPort the port for operators
 * @param peerPort the port for peers
 * @param process the process
 */
public record RouterNode(
        String id, String dataCentre, int callerPort, int operatorPort, int peerPort, StartedProcess process) {

    /** The base address for callers. */
    public String callerUrl() {
        return "http://127.0.0.1:" + callerPort;
    }

    /** The base address for operators. */
    public String operatorUrl() {
        return "http://127.0.0.1:" + operatorPort;
    }
}
