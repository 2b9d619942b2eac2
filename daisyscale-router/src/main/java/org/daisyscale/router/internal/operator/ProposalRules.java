package org.daisyscale.router.internal.operator;

import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/** Checks that a proposal is small enough to be stored in the history. Stateless; safe for use by several threads. */
final class ProposalRules {
    private static final int MAX_TEXT_CHARACTERS = 4_000;
    private static final int MAX_NAMES = 10_000;
    private static final int MAX_NAME_CHARACTERS = 200;

    private ProposalRules() {}

    /** Returns the first mistake in {@code proposal}, or empty if it is valid. */
    static Optional<String> findMistake(ConfigurationProposal proposal) {
        boolean isTextLong = Stream.of(proposal.author(), proposal.reason(), proposal.summary())
                .anyMatch(text -> text != null && text.length() > MAX_TEXT_CHARACTERS);
        if (isTextLong) {
            return Optional.of(
                    "author, reason and summary must have at most %d characters each".formatted(MAX_TEXT_CHARACTERS));
        }
        if (!areValidNames(proposal.dataCentresOut()) || !areValidNames(proposal.serversDrained())) {
            return Optional.of("dataCentresOut and serversDrained must each have at most %d names of 1 to %d characters"
                    .formatted(MAX_NAMES, MAX_NAME_CHARACTERS));
        }
        return Optional.empty();
    }

    private static boolean areValidNames(Set<String> names) {
        return names == null || (names.size() <= MAX_NAMES && names.stream().allMatch(ProposalRules::isValidName));
    }

    private static boolean isValidName(String name) {
        return name != null && !name.isBlank() && name.length() <= MAX_NAME_CHARACTERS;
    }
}
