package org.daisyscale.router.internal.settings;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * The flags as parsed by picocli, before validation. Each flag has an environment variable, such as
 * {@code DAISYSCALE_CALLER_PORT} for {@code --caller-port}; the flag takes precedence. picocli generates the
 * implementation, which is immutable.
 */
@Command(
        name = "daisyscale-router",
        mixinStandardHelpOptions = true,
        version = "daisyscale-router 0.1.0",
        sortOptions = false,
        description = "Routes requests to the backend servers that own their keys.",
        footer = "Each flag has an environment variable, such as DAISYSCALE_CALLER_PORT for --caller-port;"
                + " the flag takes precedence.")
interface RouterOptions {
    String DEFAULT = "Default: ${DEFAULT-VALUE}.";

    @Option(names = "--router-id", description = "Router id, never to be reused. Default: random.", defaultValue = "")
    String routerId();

    @Option(names = "--data-centre", description = "Data centre of this router.", defaultValue = "")
    String dataCentre();

    @Option(names = "--region", description = "Region of this router. " + DEFAULT, defaultValue = "region")
    String region();

    @Option(names = "--environment", description = "Environment of this router. " + DEFAULT, defaultValue = "trial")
    String environment();

    @Option(
            names = "--caller-host",
            description = "Address to listen on for callers. " + DEFAULT,
            defaultValue = "0.0.0.0")
    String callerHost();

    @Option(names = "--caller-port", description = "Port to listen on for callers. " + DEFAULT, defaultValue = "8080")
    long callerPort();

    @Option(
            names = "--operator-host",
            description = "Address to listen on for operators. " + DEFAULT,
            defaultValue = "127.0.0.1")
    String operatorHost();

    @Option(
            names = "--operator-port",
            description = "Port to listen on for operators. " + DEFAULT,
            defaultValue = "8081")
    long operatorPort();

    @Option(
            names = "--operator-token-file",
            description = "File that contains the operators' token.",
            defaultValue = "")
    String operatorTokenFile();

    @Option(
            names = "--peer-host",
            description = "Address to listen on for other routers. " + DEFAULT,
            defaultValue = "0.0.0.0")
    String peerHost();

    @Option(
            names = "--peer-port",
            description = "Port to listen on for other routers. " + DEFAULT,
            defaultValue = "7001")
    long peerPort();

    @Option(
            names = "--peer-secret-file",
            description = "File that contains the secret shared by all routers.",
            defaultValue = "")
    String peerSecretFile();

    @Option(
            names = "--platform-url",
            description = "URL of the platform's key-value service, or embedded to run it in this process.",
            defaultValue = "")
    String platformUrl();

    @Option(names = "--vm-list-url", description = "URL of the platform's list of VMs.", defaultValue = "")
    String vmListUrl();

    @Option(
            names = "--vm-list-inline",
            description = "List of VMs as JSON, instead of --vm-list-url.",
            defaultValue = "")
    String vmListInline();

    @Option(names = "--log-format", description = "Log format: text or json. " + DEFAULT, defaultValue = "text")
    String logFormat();

    @Option(
            names = "--log-level",
            description = "Lowest level logged: debug, info, warn or error. " + DEFAULT,
            defaultValue = "info")
    String logLevel();

    @Option(
            names = "--trace-file",
            description = "File in which the core's events are recorded. Default: none.",
            defaultValue = "")
    String traceFile();

    @Option(
            names = "--dispatch-policy",
            description = "Dispatch policy: late-binding, round-robin, random or two-choices. " + DEFAULT,
            defaultValue = "late-binding")
    String dispatchPolicy();

    @Option(
            names = "--queue-limit",
            description = "Maximum number of requests waiting in a range. " + DEFAULT,
            defaultValue = "10000")
    long queueLimit();

    @Option(
            names = "--max-slots-per-server",
            description = "Maximum number of concurrent orders per server. " + DEFAULT,
            defaultValue = "64")
    long maxSlotsPerServer();

    @Option(
            names = "--seed",
            description = "Seed of random choices; 0 for a random seed. " + DEFAULT,
            defaultValue = "0")
    long seed();

    @Option(
            names = "--ping-interval-millis",
            description = "Interval between pings to a peer. " + DEFAULT,
            defaultValue = "100")
    long pingIntervalMillis();

    @Option(
            names = "--witness-period-millis",
            description = "Time for which witness evidence is valid. " + DEFAULT,
            defaultValue = "500")
    long witnessPeriodMillis();

    @Option(names = "--grant-life-millis", description = "Lifetime of a grant. " + DEFAULT, defaultValue = "900")
    long grantLifeMillis();

    @Option(names = "--permit-life-millis", description = "Lifetime of a permit. " + DEFAULT, defaultValue = "200")
    long permitLifeMillis();

    @Option(
            names = "--drift-per-mille",
            description = "Maximum clock drift in per mille. " + DEFAULT,
            defaultValue = "10")
    long driftPerMille();

    @Option(
            names = "--probe-interval-millis",
            description = "Interval between probes of a server. " + DEFAULT,
            defaultValue = "100")
    long probeIntervalMillis();

    @Option(
            names = "--silence-limit-millis",
            description = "Silence after which a server is considered lost. " + DEFAULT,
            defaultValue = "500")
    long silenceLimitMillis();

    @Option(
            names = "--control-lease-millis",
            description = "Duration of the control lease. " + DEFAULT,
            defaultValue = "1000")
    long controlLeaseMillis();

    @Option(
            names = "--stop-limit-millis",
            description = "Time limit of a planned stop. " + DEFAULT,
            defaultValue = "30000")
    long stopLimitMillis();

    @Option(
            names = "--control-timeout-millis",
            description = "Timeout of probes and grants. " + DEFAULT,
            defaultValue = "300")
    long controlTimeoutMillis();

    @Option(
            names = "--max-body-bytes",
            description = "Maximum size of a request body. " + DEFAULT,
            defaultValue = "16777216")
    long maxBodyBytes();

    @Option(
            names = "--body-time-limit-millis",
            description = "Time limit for receiving a whole body. " + DEFAULT,
            defaultValue = "60000")
    long bodyTimeLimitMillis();

    @Option(
            names = "--max-answer-bytes",
            description = "Maximum size of an answer's body. " + DEFAULT,
            defaultValue = "16777216")
    long maxAnswerBytes();

    @Option(
            names = "--max-buffered-bytes",
            description = "Maximum size of all buffered bodies. " + DEFAULT,
            defaultValue = "67108864")
    long maxBufferedBytes();

    @Option(
            names = "--connections-per-server",
            description = "Maximum number of connections to one server. " + DEFAULT,
            defaultValue = "8")
    long connectionsPerServer();

    @Option(
            names = "--caller-threads",
            description = "Number of event loops for callers. " + DEFAULT,
            defaultValue = "2")
    long callerThreads();

    @Option(
            names = "--backend-threads",
            description = "Number of event loops for backend servers. " + DEFAULT,
            defaultValue = "1")
    long backendThreads();

    @Option(
            names = "--event-ring-capacity",
            description = "Capacity of the ring of events to the core. " + DEFAULT,
            defaultValue = "16384")
    long eventRingCapacity();

    @Option(
            names = "--backend-ring-capacity",
            description = "Capacity of the rings of orders and control calls. " + DEFAULT,
            defaultValue = "8192")
    long backendRingCapacity();

    @Option(names = "--print-settings", description = "Print the settings without secrets and exit.")
    boolean isPrintSettings();
}
