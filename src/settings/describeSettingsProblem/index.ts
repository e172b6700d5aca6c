import { findNodeAtLocation, type JSONPath, type Node } from "jsonc-parser";
import type { z } from "zod";

/** The file in which a problem was found. */
interface SettingsProblemOptions {
    /** Name of the file, shown to the reader. */
    readonly file: string;
    /** The whole text of the file. */
    readonly text: string;
    /** Syntax tree of the text, used to find line numbers. */
    readonly root: Node | undefined;
}

/**
 * Describes one problem that a schema found in a settings file.
 *
 * @param issue The problem as reported by the schema.
 * @param options The file it was found in.
 * @returns One line with file, line number, key and the reported problem.
 *
 * @example
 * describeSettingsProblem(issue, { file, text, root });
 * // "gateway.jsonc:4: `listen.port`: Invalid input: expected number, received string"
 */
export function describeSettingsProblem(issue: z.core.$ZodIssue, options: SettingsProblemOptions): string {
    const parentPath = issue.path as JSONPath;
    const unknownKeys = issue.code === "unrecognized_keys" ? issue.keys : undefined;
    const path = unknownKeys === undefined ? parentPath : [...parentPath, unknownKeys[0] as string];
    const line = findLine(path, options);
    if (unknownKeys !== undefined) {
        const names = unknownKeys.map(key => `\`${[...parentPath, key].join(".")}\``).join(", ");
        return `${options.file}:${line}: ${names}: unknown key`;
    }
    return `${options.file}:${line}: \`${path.join(".")}\`: ${issue.message}`;
}

/** Returns the line of the key, or of the innermost enclosing object when the key is missing. */
function findLine(path: JSONPath, options: SettingsProblemOptions): number {
    for (let length = path.length; length >= 0 && options.root !== undefined; length -= 1) {
        const node = findNodeAtLocation(options.root, path.slice(0, length));
        if (node !== undefined) {
            return options.text.slice(0, node.offset).split("\n").length;
        }
    }
    return 1;
}
