package org.daisyscale.core.internal.configuration;

import com.google.common.base.Splitter;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.daisyscale.core.document.KeySource;
import org.daisyscale.core.document.RequestKind;
import org.daisyscale.core.document.ServicePolicy;
import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.core.error.CoreException;
import org.daisyscale.core.ownership.KeyHash;
import org.daisyscale.core.request.RequestMeta;

/** Finds the service and kind that apply to a request, and validates the request against them. Stateless. */
public final class RequestResolver {
    private static final long NO_KEY = -1;
    private static final Splitter PARAMETERS = Splitter.on('&').omitEmptyStrings();

    private RequestResolver() {}

    /**
     * Returns the service, kind and key hash of {@code meta}.
     *
     * @throws CoreException with a code of the DSC-10xx group if the request is not valid
     */
    public static ResolvedRequest resolve(Policies policies, RequestMeta meta) {
        ServicePolicy service = policies.serviceOfJob(meta.jobName())
                .flatMap(policies::service)
                .orElseThrow(() -> new CoreException(CoreErrorCode.UNKNOWN_JOB, "job " + meta.jobName()));
        MatchedKind matched = matchKind(policies, service, meta);
        RequestKind kind = matched.kind();
        checkBody(kind, meta);
        checkId(kind, meta);
        return new ResolvedRequest(service, kind, keyHash(kind, matched.variables(), meta));
    }

    private static MatchedKind matchKind(Policies policies, ServicePolicy service, RequestMeta meta) {
        boolean isPathMatched = false;
        for (Policies.KindTemplate candidate : policies.templatesOf(service.name())) {
            RequestKind kind = candidate.kind();
            Optional<Map<String, String>> variables = candidate.template().match(meta.path());
            if (variables.isPresent() && kind.method().equals(meta.method())) {
                return new MatchedKind(kind, variables.get());
            }
            isPathMatched |= variables.isPresent();
        }
        CoreErrorCode code = isPathMatched ? CoreErrorCode.WRONG_METHOD : CoreErrorCode.UNKNOWN_KIND;
        throw new CoreException(code, meta.method() + " " + meta.path() + " of service " + service.name());
    }

    private static void checkBody(RequestKind kind, RequestMeta meta) {
        if (meta.bodyBytes() > kind.bodyLimitBytes()) {
            String detail = "%d bytes, limit %d".formatted(meta.bodyBytes(), kind.bodyLimitBytes());
            throw new CoreException(CoreErrorCode.BODY_TOO_LARGE, detail);
        }
    }

    private static void checkId(RequestKind kind, RequestMeta meta) {
        if (meta.idempotencyKey().isEmpty()) {
            return;
        }
        if (IdTimestamp.ofId(meta.idempotencyKey()).isEmpty()) {
            throw new CoreException(CoreErrorCode.MALFORMED_ID, "kind " + kind.name());
        }
    }

    private static long keyHash(RequestKind kind, Map<String, String> variables, RequestMeta meta) {
        Optional<String> key =
                switch (kind.keySource()) {
                    case PATH -> Optional.ofNullable(variables.get(kind.keyName()));
                    case HEADER -> meta.headers().value(kind.keyName());
                    case QUERY -> queryParameter(meta.rawQuery(), kind.keyName());
                    case NONE -> Optional.empty();
                };
        if (key.isPresent() && !key.get().isEmpty()) {
            return KeyHash.of(key.get());
        }
        return missingKey(kind);
    }

    private static long missingKey(RequestKind kind) {
        if (kind.keySource() == KeySource.NONE) {
            return NO_KEY;
        }
        String where = kind.keySource().name().toLowerCase(Locale.ROOT);
        throw new CoreException(
                CoreErrorCode.MISSING_KEY,
                "kind %s reads the key from %s %s".formatted(kind.name(), where, kind.keyName()));
    }

    private static Optional<String> queryParameter(String rawQuery, String name) {
        List<String> parameters = PARAMETERS.splitToList(rawQuery);
        String prefix = name + "=";
        return parameters.stream()
                .filter(parameter -> parameter.startsWith(prefix))
                .map(parameter -> parameter.substring(prefix.length()))
                .findFirst();
    }

    private record MatchedKind(RequestKind kind, Map<String, String> variables) {}
}
