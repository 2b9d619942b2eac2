package org.daisyscale.router.internal.backend;

import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.util.Optional;
import org.daisyscale.core.request.BackendOutcome;
import ratpack.http.Headers;
import ratpack.http.client.HttpClientReadTimeoutException;

/**
 * Derives an order's outcome from the result of its HTTP call. An order counts as not run only if that is certain: it
 * was not sent, or a refusal names it. Otherwise it may have run. Stateless.
 */
final class OutcomeClassifier {
    private static final String NOT_RUN_HEADER = "Daisyscale-Not-Run";
    private static final String ORDER_ID_HEADER = "Daisyscale-Order-Id";

    private OutcomeClassifier() {}

    /** Returns the outcome of a call that failed before the headers of an answer arrived. */
    static BackendOutcome ofFailure(Throwable failure) {
        if (isBeforeSending(failure)) {
            return BackendOutcome.NOT_SENT;
        }
        return failure instanceof HttpClientReadTimeoutException
                ? BackendOutcome.TIMED_OUT
                : BackendOutcome.CONNECTION_LOST;
    }

    private static boolean isBeforeSending(Throwable failure) {
        return failure instanceof ConnectException
                || failure instanceof NoRouteToHostException
                || failure instanceof PermitExpiredException
                || isPoolFull(failure);
    }

    private static boolean isPoolFull(Throwable failure) {
        return failure instanceof IllegalStateException
                && Optional.ofNullable(failure.getMessage()).orElse("").contains("outstanding acquire");
    }

    /** Returns the outcome that the headers of the answer to {@code orderId} state. */
    static BackendOutcome ofHeaders(Headers headers, String orderId) {
        // An answer that names no order may be the copy of the answer to an earlier order.
        if (!orderId.equals(headers.get(ORDER_ID_HEADER))) {
            return BackendOutcome.WRONG_ANSWER;
        }
        String notRun = headers.get(NOT_RUN_HEADER);
        return notRun == null ? BackendOutcome.ANSWERED : ofNotRun(notRun);
    }

    private static BackendOutcome ofNotRun(String value) {
        return switch (value) {
            case "not-owner" -> BackendOutcome.NOT_OWNER;
            case "shed" -> BackendOutcome.SHED;
            case "draining" -> BackendOutcome.DRAINING;
            case "expired" -> BackendOutcome.EXPIRED;
            default -> BackendOutcome.WRONG_ANSWER;
        };
    }
}
