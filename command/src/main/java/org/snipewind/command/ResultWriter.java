package org.snipewind.command;

import io.micronaut.serde.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;

/** Writes results as lines of text or as JSON. */
record ResultWriter(PrintStream stream) {

    void printLine(String text) {
        stream.println(text);
    }

    void printJson(Object value) {
        try {
            stream.println(ObjectMapper.getDefault().writeValueAsString(value));
        } catch (IOException failure) {
            throw new UncheckedIOException("cannot write JSON", failure);
        }
    }
}
