package org.daisyscale.cli.internal.router;

import java.net.ConnectException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.daisyscale.cli.internal.error.CliErrorCode;
import org.daisyscale.cli.internal.error.CliException;
import org.daisyscale.core.status.RouterStatus;

/**
 * The routers named by the operator; calls try them in order. Thread-safe.
 *
 * @param routers the clients of the routers; must not be empty
 */
public record RouterFleet(List<OperatorApi> routers) {

    public RouterFleet {
        routers = List.copyOf(routers);
    }

    /** Returns the configuration from the first router that answers. */
    public ConfigurationView configuration() {
        return firstAnswer(OperatorApi::configuration);
    }

    /** Returns the state of the first router that answers. */
    public RouterStatus status() {
        return firstAnswer(OperatorApi::status);
    }

    /** Returns the state of each router that answers. */
    public Answers<RouterStatus> statuses() {
        return all(OperatorApi::status);
    }

    /**
     * Proposes a change through the first router that answers. Retrying after a lost response is safe: the next router
     * either accepts the change or shows that it was already accepted.
     *
     * @return the revision that the change created
     */
    public long propose(ConfigurationProposal proposal) {
        List<CliException> failures = new ArrayList<>();
        for (OperatorApi router : routers) {
            try {
                return router.propose(proposal);
            } catch (ConfigurationRaceException race) {
                return resolveRace(router, proposal, race, failures);
            } catch (CliException failure) {
                failures.add(rethrowUnlessUnreachable(failure));
            }
        }
        return resolveUnreachable(proposal, failures);
    }

    private static long resolveRace(
            OperatorApi router,
            ConfigurationProposal proposal,
            ConfigurationRaceException race,
            List<CliException> failures) {
        if (failures.isEmpty()) {
            throw race;
        }
        ConfigurationView view = router.configuration();
        if (proposal.isNewestOf(view)) {
            return view.revision();
        }
        throw race;
    }

    private long resolveUnreachable(ConfigurationProposal proposal, List<CliException> failures) {
        if (failures.stream().allMatch(RouterFleet::wasNeverSent)) {
            throw new CliException(CliErrorCode.ROUTER_UNREACHABLE, joinDetails(failures), failures.get(0));
        }
        ConfigurationView view = readConfigurationAfter(failures);
        if (proposal.isNewestOf(view)) {
            return view.revision();
        }
        throw outcomeUnknown(failures);
    }

    private ConfigurationView readConfigurationAfter(List<CliException> failures) {
        try {
            return configuration();
        } catch (CliException stillUnreachable) {
            throw outcomeUnknown(failures);
        }
    }

    private static CliException outcomeUnknown(List<CliException> failures) {
        return new CliException(CliErrorCode.OUTCOME_UNKNOWN, joinDetails(failures), failures.get(0));
    }

    private static boolean wasNeverSent(CliException failure) {
        return failure.getCause() instanceof ConnectException;
    }

    private <T> T firstAnswer(Function<OperatorApi, T> call) {
        List<CliException> failures = new ArrayList<>();
        for (OperatorApi router : routers) {
            try {
                return call.apply(router);
            } catch (CliException failure) {
                failures.add(rethrowUnlessUnreachable(failure));
            }
        }
        throw new CliException(CliErrorCode.ROUTER_UNREACHABLE, joinDetails(failures), failures.get(0));
    }

    /**
     * Calls every router and returns the answers and the addresses of the unreachable routers.
     *
     * @throws CliException with {@link CliErrorCode#ROUTER_UNREACHABLE} if no router answers
     */
    public <T> Answers<T> all(Function<OperatorApi, T> call) {
        List<T> answers = new ArrayList<>();
        List<String> unreachable = new ArrayList<>();
        List<CliException> failures = new ArrayList<>();
        for (OperatorApi router : routers) {
            try {
                answers.add(call.apply(router));
            } catch (CliException failure) {
                failures.add(rethrowUnlessUnreachable(failure));
                unreachable.add(router.address());
            }
        }
        if (answers.isEmpty()) {
            throw new CliException(CliErrorCode.ROUTER_UNREACHABLE, joinDetails(failures), failures.get(0));
        }
        return new Answers<>(answers, unreachable);
    }

    private static CliException rethrowUnlessUnreachable(CliException failure) {
        if (failure.errorCode() != CliErrorCode.ROUTER_UNREACHABLE) {
            throw failure;
        }
        return failure;
    }

    private static String joinDetails(List<CliException> failures) {
        return failures.stream().map(CliException::detail).collect(Collectors.joining("; "));
    }

    /**
     * The answers of several routers. Immutable.
     *
     * @param values the answers
     * @param unreachable the addresses of the routers that can't be reached
     */
    public record Answers<T>(List<T> values, List<String> unreachable) {

        public Answers {
            values = List.copyOf(values);
            unreachable = List.copyOf(unreachable);
        }
    }
}
