package org.snipewind.standins.trace;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.snipewind.command.replay.TraceFile;

/** Main class that writes the traces of the sample deployments to a directory. */
public final class TraceMain {

    private TraceMain() {}

    /**
     * Writes {@code voces-del-plata.jsonl} and {@code jalsetu.jsonl}.
     *
     * @param arguments seed, duration and directory
     * @throws IOException if a file can't be written
     */
    public static void main(String[] arguments) throws IOException {
        ArgumentParser parser = ArgumentParsers.newFor("traces").build().description("Writes traces of requests.");
        parser.addArgument("--seed").type(Long.class).setDefault(1L).help("seed of all random choices (default 1)");
        parser.addArgument("--seconds").type(Long.class).setDefault(6L).help("duration of a trace (default 6)");
        parser.addArgument("directory").help("receives the files");
        Namespace namespace = parser.parseArgsOrFail(arguments);
        Path directory = Files.createDirectories(Path.of(namespace.getString("directory")));
        for (String name : List.of("voces-del-plata", "jalsetu")) {
            TraceShape shape = name.equals("jalsetu") ? DeploymentTraces.jalsetu() : DeploymentTraces.vocesDelPlata();
            TraceFile.write(
                    directory.resolve(name + ".jsonl"),
                    TraceGenerator.generate(
                            shape.withDurationMillis(namespace.getLong("seconds") * 1_000), namespace.getLong("seed")));
        }
    }
}
