package org.daisyscale.core.platform;

/**
 * A revision of the store together with the era in which it was assigned. The era rises by one each time the store is
 * restored from an older copy, after which revisions go back and are assigned again; a revision of a higher era is
 * newer than every revision of a lower one.
 *
 * <p>Elsewhere a revision is one {@code long}, as {@link #packed} returns it: the era in the high bits and the store's
 * revision in the low bits, so that its natural order is the order by era and revision. In era 0, which is also that of
 * a store without eras, it equals the store's revision. Immutable.
 *
 * @param era the era; 0 if the store names none
 * @param revision the revision that the store assigned within the era
 */
public record EraRevision(long era, long revision) {
    /** Bits of the store's revision: enough for 50 years at 10,000 changes a second. */
    private static final int REVISION_BITS = 44;

    private static final long REVISION_MASK = (1L << REVISION_BITS) - 1;
    private static final long MAX_ERA = Long.MAX_VALUE >>> REVISION_BITS;

    /** Throws {@link IllegalArgumentException} if a component does not fit into its bits. */
    public EraRevision {
        if (era < 0 || era > MAX_ERA || revision < 0 || revision > REVISION_MASK) {
            throw new IllegalArgumentException("era %d or revision %d is out of range".formatted(era, revision));
        }
    }

    /** Returns the era and the revision that {@link #packed} joined. */
    public static EraRevision unpack(long packed) {
        return new EraRevision(packed >>> REVISION_BITS, packed & REVISION_MASK);
    }

    /** Returns the era of a packed revision. */
    public static long eraOf(long packed) {
        return unpack(packed).era();
    }

    /** Returns the era and the revision as one number, in the order of eras and revisions. */
    public long packed() {
        return era << REVISION_BITS | revision;
    }

    /** Returns the revision alone in era 0, otherwise {@code era:revision}. */
    @Override
    public String toString() {
        return era == 0 ? Long.toString(revision) : era + ":" + revision;
    }
}
