package org.daisyscale.core.internal.configuration;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.daisyscale.core.document.EnvironmentDocument;
import org.daisyscale.core.document.JobRule;
import org.daisyscale.core.document.PathTemplate;
import org.daisyscale.core.document.RequestKind;
import org.daisyscale.core.document.ServicePolicy;

/**
 * The policies of a document, indexed for look-ups. An exact job name takes precedence over a prefix, a longer prefix
 * over a shorter one. Immutable.
 */
public final class Policies {
    private final Map<String, ServicePolicy> serviceByName;
    private final List<ServiceJobRule> prefixesLongestFirst;
    private final Map<String, String> serviceByExactJob;
    private final Map<String, List<KindTemplate>> templatesByService;

    private Policies(
            Map<String, ServicePolicy> serviceByName,
            List<ServiceJobRule> prefixesLongestFirst,
            Map<String, String> serviceByExactJob) {
        this.serviceByName = serviceByName;
        this.prefixesLongestFirst = prefixesLongestFirst;
        this.serviceByExactJob = serviceByExactJob;
        this.templatesByService = new LinkedHashMap<>();
        serviceByName.values().forEach(service -> templatesByService.put(service.name(), templates(service)));
    }

    private static List<KindTemplate> templates(ServicePolicy service) {
        return service.kinds().stream()
                .map(kind -> new KindTemplate(PathTemplate.of(kind.pathTemplate()), kind))
                .sorted(Comparator.comparingInt(
                        template -> template.template().variables().size()))
                .toList();
    }

    /** Returns empty policies. */
    public static Policies none() {
        return new Policies(Map.of(), List.of(), Map.of());
    }

    /** Returns the policies of {@code document}. */
    public static Policies of(EnvironmentDocument document) {
        Map<String, ServicePolicy> services = new LinkedHashMap<>();
        document.services().forEach(service -> services.put(service.name(), service));
        List<ServiceJobRule> rules = document.services().stream()
                .flatMap(service -> service.jobs().stream().map(rule -> new ServiceJobRule(rule, service.name())))
                .toList();
        List<ServiceJobRule> prefixes = rules.stream()
                .filter(rule -> rule.rule().isPrefix())
                .sorted(Comparator.comparingInt(rule -> -rule.rule().text().length()))
                .toList();
        Map<String, String> exactNames = new LinkedHashMap<>();
        rules.stream()
                .filter(rule -> !rule.rule().isPrefix())
                .forEach(rule -> exactNames.put(rule.rule().text(), rule.service()));
        return new Policies(services, prefixes, exactNames);
    }

    /** Returns all services, in the document's order. */
    public List<ServicePolicy> services() {
        return List.copyOf(serviceByName.values());
    }

    /** Returns the service {@code name}. */
    public Optional<ServicePolicy> service(String name) {
        return Optional.ofNullable(serviceByName.get(name));
    }

    /** Returns the path templates of the kinds of {@code service}, those with the fewest variables first. */
    List<KindTemplate> templatesOf(String service) {
        return templatesByService.getOrDefault(service, List.of());
    }

    /** Returns the kind {@code kindName} of the service {@code serviceName}. */
    public Optional<RequestKind> kind(String serviceName, String kindName) {
        return service(serviceName)
                .flatMap(service -> service.kinds().stream()
                        .filter(kind -> kind.name().equals(kindName))
                        .findFirst());
    }

    /** Returns the name of the service that {@code jobName} belongs to. */
    public Optional<String> serviceOfJob(String jobName) {
        String exact = serviceByExactJob.get(jobName);
        if (exact != null) {
            return Optional.of(exact);
        }
        return prefixesLongestFirst.stream()
                .filter(rule -> rule.rule().matches(jobName))
                .map(ServiceJobRule::service)
                .findFirst();
    }

    /**
     * A kind of request with its parsed path template. Immutable.
     *
     * @param template the parsed path template
     * @param kind the kind of request
     */
    record KindTemplate(PathTemplate template, RequestKind kind) {}

    private record ServiceJobRule(JobRule rule, String service) {}
}
