package org.daisyscale.cli.internal.command;

import picocli.CommandLine;
import picocli.CommandLine.IFactory;

/** Creates objects for picocli and passes the {@link CliContext} to those that need one. Immutable. */
final class ContextInjectingFactory implements IFactory {
    private final CliContext context;

    ContextInjectingFactory(CliContext context) {
        this.context = context;
    }

    @Override
    public <K> K create(Class<K> type) throws Exception {
        if (type == RouterOptions.class) {
            return type.cast(new RouterOptions(context));
        }
        return CommandLine.defaultFactory().create(type);
    }
}
