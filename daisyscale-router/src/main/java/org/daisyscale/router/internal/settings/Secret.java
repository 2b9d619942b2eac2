package org.daisyscale.router.internal.settings;

/** A secret text that is never printed. Immutable. */
public final class Secret {
    private final String text;

    /** Creates a secret with the given text. */
    public Secret(String text) {
        this.text = text;
    }

    /** Returns the text of the secret. */
    public String reveal() {
        return text;
    }

    /** Returns whether the text is empty. */
    public boolean isEmpty() {
        return text.isEmpty();
    }

    @Override
    public String toString() {
        return "[hidden]";
    }
}
