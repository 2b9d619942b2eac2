import java.util.List;

/** Builds the operator's configuration in the form of PROTOCOL.md. */
final class Configuration {
    private Configuration() {}

    /** One route; {@code kind} is idempotent, non_idempotent or upload. */
    record Route(String prefix, String kind, double timeoutS, double targetS, String service, int maxAttempts) {}

    /** One service. */
    record Service(String name, boolean isSharded) {}

    static String of(long version, List<Route> routes, List<Service> services) {
        StringBuilder text = new StringBuilder("{\"Version\":\"r" + version + "\",\"Routes\":{\"Columns\":[\"Name\","
                + "\"Host\",\"Prefix\",\"Kind\",\"TimeoutS\",\"TargetLatencyS\",\"Priority\",\"Service\","
                + "\"MaxAttempts\",\"TrafficSplit\"],\"Rows\":[");
        for (int index = 0; index < routes.size(); index++) {
            Route route = routes.get(index);
            text.append(index == 0 ? "" : ",")
                    .append("[\"r-%d\",\"a.example\",\"%s\",\"%s\",%s,%s,1,\"%s\",%d,null]"
                            .formatted(index, route.prefix(), route.kind(), route.timeoutS(), route.targetS(),
                                    route.service(), route.maxAttempts()));
        }
        text.append("]},\"Services\":{\"Columns\":[\"Name\",\"HealthPath\",\"MaxConns\",\"Protocol\",\"Tls\","
                + "\"ColdStartS\",\"ColdPerS\",\"Sharded\",\"WarmupS\",\"Grants\"],\"Rows\":[");
        for (int index = 0; index < services.size(); index++) {
            Service service = services.get(index);
            text.append(index == 0 ? "" : ",")
                    .append("[\"%s\",\"/health\",120,\"h1\",false,3.0,7.0,%s]"
                            .formatted(service.name(), service.isSharded() ? "true,5.0,\"call\"" : "null,null,null"));
        }
        return text.append("]},\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,"
                        + "\"HeaderTimeoutS\":3,\"IdleTimeoutS\":15}}")
                .toString();
    }
}
