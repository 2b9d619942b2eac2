package org.daisyscale.testkit.cluster;

import java.nio.file.Path;

/**
 * A started backend server. Immutable but for the process.
 *
 * @param id the id of its VM
 * @param jobName the job name
 * @param dataCentre its data centre
 * @param port its port
 * @param recordFile the file of its own records
 * @param process the process, which may hold other servers too
 */
public record ServerNode(
        String id, String jobName, String dataCentre, int port, Path recordFile, StartedProcess process) {

    /** The base address. */
    public String url() {
        return "http://127.0.0.1:" + port;
    }
}
