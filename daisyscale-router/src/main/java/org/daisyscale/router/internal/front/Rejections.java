package org.daisyscale.router.internal.front;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.daisyscale.core.Action;
import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.core.error.ErrorCode;
import org.daisyscale.router.internal.json.Json;
import org.daisyscale.router.internal.request.CallerReply;
import org.daisyscale.router.internal.request.HeaderField;

/**
 * Creates the replies to rejected and failed requests: HTTP status, problem document, and a header that says whether
 * the request was certainly not run. Stateless.
 */
public final class Rejections {
    private static final int INTERNAL_ERROR = 500;
    private static final Map<CoreErrorCode, Integer> STATUS_BY_CODE = statuses();

    private Rejections() {}

    /** Returns the reply to a request that the core rejected. */
    public static CallerReply reply(Action.RefuseRequest rejection) {
        return reply(rejection.code(), rejection.detail(), rejection.service(), rejection.kind());
    }

    /** Returns the reply for {@code code} to a request whose service is not known. */
    public static CallerReply reply(CoreErrorCode code, String detail) {
        return reply(code, detail, "", "");
    }

    /** Returns the reply for an error code of the shell; it states that the request was not run. */
    static CallerReply notRun(int status, ErrorCode code, String detail) {
        return reply(status, code, detail, "not-run", "", "");
    }

    private static CallerReply reply(CoreErrorCode code, String detail, String service, String kind) {
        int status = STATUS_BY_CODE.getOrDefault(code, INTERNAL_ERROR);
        return reply(status, code, detail, outcome(code), service, kind);
    }

    private static CallerReply reply(
            int status, ErrorCode code, String detail, String outcome, String service, String kind) {
        Problem problem = new Problem(
                "urn:daisyscale:problem:" + code.code(), code.summary(), status, code.code(), detailText(code, detail));
        List<HeaderField> headers = List.of(
                new HeaderField("Content-Type", Problem.MEDIA_TYPE), new HeaderField("Daisyscale-Outcome", outcome));
        return new CallerReply(status, headers, Json.write(problem), service, kind, code.code());
    }

    private static String detailText(ErrorCode code, String detail) {
        return detail.isEmpty() ? code.remedy() + "." : detail + ". " + code.remedy() + ".";
    }

    private static String outcome(CoreErrorCode code) {
        return switch (code) {
            case OUTCOME_UNKNOWN, TIMED_OUT, ALREADY_RAN, DUPLICATE_IN_PROGRESS, INVARIANT_BROKEN -> "unknown";
            default -> "not-run";
        };
    }

    private static Map<CoreErrorCode, Integer> statuses() {
        Map<CoreErrorCode, Integer> statuses = new EnumMap<>(CoreErrorCode.class);
        statuses.put(CoreErrorCode.UNKNOWN_JOB, 404);
        statuses.put(CoreErrorCode.UNKNOWN_KIND, 404);
        statuses.put(CoreErrorCode.MISSING_KEY, 400);
        statuses.put(CoreErrorCode.MALFORMED_ID, 400);
        statuses.put(CoreErrorCode.BODY_TOO_LARGE, 413);
        statuses.put(CoreErrorCode.WRONG_METHOD, 405);
        statuses.put(CoreErrorCode.CONFIGURATION_CONFLICT, 409);
        statuses.put(CoreErrorCode.INVALID_DOCUMENT, 422);
        statuses.put(CoreErrorCode.OVERLOADED, 503);
        statuses.put(CoreErrorCode.NO_ROUTE, 404);
        statuses.put(CoreErrorCode.ROUTE_UNCERTAIN, 503);
        statuses.put(CoreErrorCode.UNKNOWN_API_KEY, 401);
        statuses.put(CoreErrorCode.API_KEY_UNCERTAIN, 503);
        statuses.put(CoreErrorCode.ALLOWANCE_EXCEEDED, 429);
        statuses.put(CoreErrorCode.ALLOWANCE_UNCERTAIN, 503);
        statuses.put(CoreErrorCode.NO_SERVER, 503);
        statuses.put(CoreErrorCode.TIMED_OUT, 504);
        statuses.put(CoreErrorCode.NO_OWNER, 503);
        statuses.put(CoreErrorCode.NOT_READY, 503);
        statuses.put(CoreErrorCode.STOPPING, 503);
        statuses.put(CoreErrorCode.REFUSED_BY_SERVER, 503);
        statuses.put(CoreErrorCode.SUSPECT_REQUEST, 422);
        statuses.put(CoreErrorCode.DUPLICATE_IN_PROGRESS, 409);
        statuses.put(CoreErrorCode.CALLER_LIMIT, 429);
        statuses.put(CoreErrorCode.OUTCOME_UNKNOWN, 504);
        statuses.put(CoreErrorCode.ALREADY_RAN, 409);
        statuses.put(CoreErrorCode.INVARIANT_BROKEN, INTERNAL_ERROR);
        return statuses;
    }
}
