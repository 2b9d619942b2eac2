package org.daisyscale.cli.internal.command;

import java.util.List;

/**
 * The result of a change. Immutable.
 *
 * @param revision the revision that contains the change; the current revision if nothing had to be written
 * @param isChanged whether a new revision was written
 * @param inForce the routers where the change is in force; empty if the command did not wait
 * @param unheard the routers that no queried router hears, which may lag behind; empty if the command did not wait
 */
record ChangeResult(long revision, boolean isChanged, List<String> inForce, List<String> unheard) {}
