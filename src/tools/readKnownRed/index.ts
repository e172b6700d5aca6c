import { existsSync, readFileSync } from "node:fs";
import { toolConstants } from "../constants.js";

/** A test that is known to fail for a fault that is not mended yet. */
interface KnownRedTest {
    readonly name: string;
    /** The whole entry, to be printed. */
    readonly text: string;
}

/**
 * Reads the list of tests that are known to fail.
 *
 * Entries are separated by blank lines; the line `test: NAME` of an entry gives the exact name of the test.
 * Lines that start with `#` are comments.
 *
 * @returns The entries; none when there is no such file.
 *
 * @example
 * const names = readKnownRed().map(entry => entry.name);
 */
export function readKnownRed(): KnownRedTest[] {
    if (!existsSync(toolConstants.knownRedFile)) {
        return [];
    }
    const lines = readFileSync(toolConstants.knownRedFile, "utf8").split("\n").filter(line => !line.startsWith("#"));
    return lines.join("\n").split(/\n\s*\n/).map(text => text.trim()).filter(text => text !== "").map(text => {
        const match = /^test:\s*(.+)$/m.exec(text);
        if (!match) {
            throw new Error(`An entry of ${toolConstants.knownRedFile} has no line \`test: NAME\`:\n${text}`);
        }
        return { name: (match[1] as string).trim(), text };
    });
}
