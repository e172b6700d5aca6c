import { existsSync, readFileSync } from "node:fs";
import { toolConstants } from "../constants.js";

/** A test that is known to fail for a fault that is not fixed yet. */
interface KnownFailure {
    readonly name: string;
    /** The complete entry, for printing. */
    readonly text: string;
}

/**
 * Reads the list of tests that are known to fail.
 *
 * Entries are separated by blank lines; the line `test: NAME` of an entry gives the exact name of the test.
 * Lines that start with `#` are comments.
 *
 * @returns The entries; empty when the file does not exist.
 *
 * @throws Error when an entry has no line `test: NAME`.
 *
 * @example
 * const names = readKnownFailures().map(entry => entry.name);
 */
export function readKnownFailures(): KnownFailure[] {
    if (!existsSync(toolConstants.knownFailuresFile)) {
        return [];
    }
    const lines = readFileSync(toolConstants.knownFailuresFile, "utf8").split("\n").filter(line =>
        !line.startsWith("#")
    );
    return lines.join("\n").split(/\n\s*\n/).map(text => text.trim()).filter(text => text !== "").map(text => {
        const match = /^test:\s*(.+)$/m.exec(text);
        if (!match) {
            throw new Error(`An entry of ${toolConstants.knownFailuresFile} has no line \`test: NAME\`:\n${text}`);
        }
        return { name: (match[1] as string).trim(), text };
    });
}
