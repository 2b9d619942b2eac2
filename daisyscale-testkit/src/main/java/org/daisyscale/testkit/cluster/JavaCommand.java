package org.daisyscale.testkit.cluster;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The command line of a program of the testkit, on the JVM that runs this one. Stateless. */
public final class JavaCommand {

    private JavaCommand() {}

    /** A command with a small heap that runs {@code mainClass}. */
    public static List<String> of(Class<?> mainClass, List<String> arguments) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-Xmx96m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xshare:auto"));
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), mainClass.getName()));
        command.addAll(arguments);
        return command;
    }
}
