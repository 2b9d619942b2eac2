package org.daisyscale.router.internal.settings;

import java.security.SecureRandom;
import java.util.Map;
import java.util.UUID;
import org.daisyscale.core.CoreSettings;
import org.daisyscale.core.DispatchPolicyName;
import org.daisyscale.core.DispatchSettings;
import org.daisyscale.core.TimingSettings;
import org.daisyscale.router.internal.backend.BackendSettings;
import org.daisyscale.router.internal.front.CallerFrontSettings;
import org.daisyscale.router.internal.log.LogFormat;
import org.daisyscale.router.internal.operator.OperatorSettings;
import org.daisyscale.router.internal.operator.OperatorToken;

/** Builds the settings from the flags and reports invalid values to a {@link SettingsCheck}. Not thread-safe. */
final class SettingsBuilder {
    private static final int MAX_PORT = 65_535;
    private static final int MAX_THREADS = 64;
    private static final int MAX_RING_CAPACITY = 1_048_576;
    private static final long MAX_TIMING_MILLIS = 60_000;
    private static final long MAX_STOP_MILLIS = 3_600_000;
    private static final long MAX_BODY_BYTES = 1L << 30;
    private static final long MAX_BUFFERED_BYTES = 1L << 36;
    private static final int CONNECT_TIMEOUTS_PER_PERMIT_LIFE = 4;
    private static final Map<String, DispatchPolicyName> POLICIES = Map.of(
            "late-binding", DispatchPolicyName.LATE_BINDING,
            "round-robin", DispatchPolicyName.ROUND_ROBIN,
            "random", DispatchPolicyName.RANDOM,
            "two-choices", DispatchPolicyName.TWO_CHOICES);
    private static final Map<String, LogFormat> FORMATS = Map.of("text", LogFormat.TEXT, "json", LogFormat.JSON);
    private static final Map<String, String> LEVELS =
            Map.of("debug", "debug", "info", "info", "warn", "warn", "error", "error");

    private final RouterOptions options;
    private final SettingsCheck check;
    private final SecretSource secrets;

    SettingsBuilder(RouterOptions options, SettingsCheck check, SecretSource secrets) {
        this.options = options;
        this.check = check;
        this.secrets = secrets;
    }

    RouterSettings build() {
        RouterIdentity identity = identity();
        TimingSettings timing = timing();
        CoreSettings core = new CoreSettings(identity.routerId(), identity.dataCentre(), seed(), timing, dispatch());
        return new RouterSettings(
                identity, core, callers(), operators(), peers(), platform(), backend(timing), limits(), log());
    }

    private RouterIdentity identity() {
        String routerId = options.routerId().isBlank() ? UUID.randomUUID().toString() : options.routerId();
        return new RouterIdentity(
                routerId,
                check.notEmpty("--data-centre", options.dataCentre()),
                check.notEmpty("--region", options.region()),
                check.notEmpty("--environment", options.environment()));
    }

    private long seed() {
        return options.seed() == 0 ? new SecureRandom().nextLong() : options.seed();
    }

    private TimingSettings timing() {
        checkTimingOrder();
        return new TimingSettings(
                millis("--ping-interval-millis", options.pingIntervalMillis()),
                millis("--witness-period-millis", options.witnessPeriodMillis()),
                millis("--grant-life-millis", options.grantLifeMillis()),
                millis("--permit-life-millis", options.permitLifeMillis()),
                check.longWithin("--drift-per-mille", options.driftPerMille(), 0, 200),
                millis("--probe-interval-millis", options.probeIntervalMillis()),
                millis("--silence-limit-millis", options.silenceLimitMillis()),
                millis("--control-lease-millis", options.controlLeaseMillis()));
    }

    private long millis(String flag, long value) {
        return check.longWithin(flag, value, 10, MAX_TIMING_MILLIS);
    }

    private void checkTimingOrder() {
        check.requireBelow(
                "--ping-interval-millis",
                options.pingIntervalMillis(),
                "--witness-period-millis",
                options.witnessPeriodMillis());
        check.requireBelow(
                "--probe-interval-millis",
                options.probeIntervalMillis(),
                "--silence-limit-millis",
                options.silenceLimitMillis());
        check.requireBelow(
                "--permit-life-millis", options.permitLifeMillis(), "--grant-life-millis", options.grantLifeMillis());
    }

    private DispatchSettings dispatch() {
        return new DispatchSettings(
                check.oneOf("--dispatch-policy", options.dispatchPolicy(), POLICIES),
                check.intWithin("--queue-limit", options.queueLimit(), 1, MAX_RING_CAPACITY),
                check.intWithin("--max-slots-per-server", options.maxSlotsPerServer(), 1, 10_000));
    }

    private CallerFrontSettings callers() {
        check.requireAtMost(
                "--max-body-bytes", options.maxBodyBytes(), "--max-buffered-bytes", options.maxBufferedBytes());
        return new CallerFrontSettings(
                check.notEmpty("--caller-host", options.callerHost()),
                port("--caller-port", options.callerPort()),
                check.intWithin("--caller-threads", options.callerThreads(), 1, MAX_THREADS),
                check.longWithin("--max-body-bytes", options.maxBodyBytes(), 0, MAX_BODY_BYTES),
                check.longWithin("--body-time-limit-millis", options.bodyTimeLimitMillis(), 1, MAX_STOP_MILLIS));
    }

    private int port(String flag, long value) {
        return check.intWithin(flag, value, 0, MAX_PORT);
    }

    private OperatorSettings operators() {
        Secret token =
                secrets.read(check, "--operator-token-file", options.operatorTokenFile(), "DAISYSCALE_OPERATOR_TOKEN");
        return new OperatorSettings(
                check.notEmpty("--operator-host", options.operatorHost()),
                port("--operator-port", options.operatorPort()),
                new OperatorToken(token.reveal()));
    }

    private PeerSettings peers() {
        return new PeerSettings(
                check.notEmpty("--peer-host", options.peerHost()),
                port("--peer-port", options.peerPort()),
                secrets.read(check, "--peer-secret-file", options.peerSecretFile(), "DAISYSCALE_PEER_SECRET"));
    }

    private PlatformSettings platform() {
        PlatformSettings platform =
                new PlatformSettings(options.platformUrl(), options.vmListUrl(), options.vmListInline());
        if (!platform.isEmbedded()) {
            check.httpUrl("--platform-url", options.platformUrl());
        }
        checkVmList();
        return platform;
    }

    private void checkVmList() {
        if (options.vmListUrl().isEmpty() == options.vmListInline().isEmpty()) {
            check.addMistake(
                    "--vm-list-url and --vm-list-inline are both set or both missing; accepted: exactly one of them");
        } else if (!options.vmListUrl().isEmpty()) {
            check.httpUrl("--vm-list-url", options.vmListUrl());
        }
    }

    private BackendSettings backend(TimingSettings timing) {
        return new BackendSettings(
                check.intWithin("--backend-threads", options.backendThreads(), 1, MAX_THREADS),
                check.intWithin("--connections-per-server", options.connectionsPerServer(), 1, 10_000),
                Math.max(1, timing.permitLifeMillis() / CONNECT_TIMEOUTS_PER_PERMIT_LIFE),
                check.longWithin("--max-answer-bytes", options.maxAnswerBytes(), 0, MAX_BODY_BYTES),
                check.longWithin("--control-timeout-millis", options.controlTimeoutMillis(), 1, MAX_TIMING_MILLIS),
                check.intWithin("--backend-ring-capacity", options.backendRingCapacity(), 1, MAX_RING_CAPACITY));
    }

    private LimitSettings limits() {
        return new LimitSettings(
                check.longWithin("--max-buffered-bytes", options.maxBufferedBytes(), 0, MAX_BUFFERED_BYTES),
                check.intWithin("--event-ring-capacity", options.eventRingCapacity(), 1, MAX_RING_CAPACITY),
                check.longWithin("--stop-limit-millis", options.stopLimitMillis(), 0, MAX_STOP_MILLIS));
    }

    private LogSettings log() {
        return new LogSettings(
                check.oneOf("--log-format", options.logFormat(), FORMATS),
                check.oneOf("--log-level", options.logLevel(), LEVELS),
                options.traceFile());
    }
}
