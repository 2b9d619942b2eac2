package org.daisyscale.testkit.platform;

/**
 * The faults that a test switches on. Immutable.
 *
 * @param isOutage whether each call of the key-value service ends without an answer and without an effect
 * @param delayMillis how much later each answer goes out, in milliseconds
 * @param lostAnswers of how many of the next writes the answer is lost after they took effect
 * @param vmListLagMillis how old the list of VMs is, in milliseconds
 * @param isVmListOutage whether the list of VMs can't be read
 */
public record Faults(
        boolean isOutage, long delayMillis, int lostAnswers, long vmListLagMillis, boolean isVmListOutage) {

    /** No faults. */
    public static Faults none() {
        return new Faults(false, 0, 0, 0, false);
    }

    Faults withOneAnswerLost() {
        return new Faults(isOutage, delayMillis, lostAnswers - 1, vmListLagMillis, isVmListOutage);
    }
}
