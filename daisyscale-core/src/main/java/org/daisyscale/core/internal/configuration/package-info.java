/** Tracks the configuration in force and resolves requests against its policies. */
package org.daisyscale.core.internal.configuration;
