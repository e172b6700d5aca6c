import { readFileSync } from "node:fs";
import { toolConstants } from "../constants.js";
import { countCodeLines } from "../countCodeLines/index.js";
import type { CodeShape } from "../types/CodeShape.js";

const decisionFolders: ReadonlySet<string> = new Set(toolConstants.decisionFolders);

/**
 * Counts the lines of code of tests, of decision logic and in total, and finds the files that are too long.
 *
 * @param files Paths of the TypeScript files, from the root of the project.
 * @returns The counts, and the files that exceed the maximum length.
 *
 * @example
 * const { testLines, allLines } = measureCodeShape(files);
 */
export function measureCodeShape(files: readonly string[]): CodeShape {
    const longFiles: string[] = [];
    let allLines = 0;
    let testLines = 0;
    let decisionLines = 0;
    for (const file of files) {
        const text = readFileSync(file, "utf8");
        const lines = countCodeLines(text);
        const length = text.trimEnd().split("\n").length;
        allLines += lines;
        if (length > toolConstants.maximumFileLines) {
            longFiles.push(`${file} (${length} lines)`);
        }
        if (isTest(file)) {
            testLines += lines;
        }
        else if (decisionFolders.has(file.split("/")[1] ?? "")) {
            decisionLines += lines;
        }
    }
    return { allLines, testLines, decisionLines, longFiles };
}

function isTest(file: string): boolean {
    return file.endsWith("/test.ts") || file.startsWith("features/") || file.startsWith("src/testing/");
}
