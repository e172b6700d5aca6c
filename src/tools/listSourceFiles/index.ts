import { existsSync, readdirSync } from "node:fs";
import { join } from "node:path";

/**
 * Lists the TypeScript files of the project.
 *
 * @returns Paths below `src` and `features`, sorted.
 *
 * @example
 * const testFiles = listSourceFiles().filter(file => file.endsWith("/test.ts"));
 */
export function listSourceFiles(): string[] {
    return ["features", "src"].filter(folder => existsSync(folder)).flatMap(folder =>
        readdirSync(folder, { recursive: true, encoding: "utf8" })
            .filter(file => file.endsWith(".ts"))
            .map(file => join(folder, file))
            .sort()
    );
}
