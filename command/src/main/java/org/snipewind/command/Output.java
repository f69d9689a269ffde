package org.snipewind.command;

import io.micronaut.serde.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;

/** Writes results as lines or as JSON. */
record Output(PrintStream stream) {

    void line(String text) {
        stream.println(text);
    }

    void json(Object value) {
        try {
            stream.println(ObjectMapper.getDefault().writeValueAsString(value));
        } catch (IOException failure) {
            throw new UncheckedIOException("cannot write JSON", failure);
        }
    }
}
