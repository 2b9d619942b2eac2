package org.daisyscale.router.internal.settings;

import java.util.stream.Collectors;
import picocli.CommandLine;
import picocli.CommandLine.Model.OptionSpec;

/** Formats the settings in force, one flag per line. Secrets, which are never values of flags, are hidden. */
final class SettingsPrinter {

    private SettingsPrinter() {}

    static String print(CommandLine commandLine, RouterSettings settings) {
        String flags = commandLine.getCommandSpec().options().stream()
                .filter(option -> !option.usageHelp() && !option.versionHelp())
                .filter(option -> !option.longestName().equals("--router-id"))
                .map(SettingsPrinter::line)
                .collect(Collectors.joining());
        return "--router-id=" + settings.identity().routerId() + "\n" + flags
                + "operator-token=" + "[hidden]\n"
                + "peer-secret=" + settings.peers().secret() + "\n";
    }

    private static String line(OptionSpec option) {
        Object value = option.getValue();
        return option.longestName() + "=" + (value == null ? "" : value) + "\n";
    }
}
