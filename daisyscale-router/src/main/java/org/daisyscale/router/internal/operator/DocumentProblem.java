package org.daisyscale.router.internal.operator;

/**
 * A mistake in a document. Immutable.
 *
 * @param line the line, counted from 1
 * @param column the column, counted from 1
 * @param message what is wrong and how to correct it
 */
public record DocumentProblem(int line, int column, String message) {}
