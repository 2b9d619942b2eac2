package org.daisyscale.core.quota;

/**
 * What became of an organisation's requests at this router since its start. Immutable.
 *
 * @param organisation the name of the organisation
 * @param receivedCount the requests that were ready to be sent to a server for the first time
 * @param servedCount the requests whose response was delivered
 * @param exceededCount the requests that were rejected because the allowance is used
 * @param uncertainCount the requests that were rejected because the controller did not reply
 * @param heldCount the credits that this router holds
 * @param heldAgeMillis the age of the oldest of these, in milliseconds; 0 if there are none
 */
public record OrganisationCounts(
        String organisation,
        long receivedCount,
        long servedCount,
        long exceededCount,
        long uncertainCount,
        long heldCount,
        long heldAgeMillis) {}
