import { existsSync, readFileSync } from "node:fs";

/** A path that a page names and that does not exist. */
interface MissingPath {
    readonly page: string;
    readonly path: string;
}

/** A path below `src/` in backquotes, optionally followed by the name of a test. */
const sourcePath = /`(src\/[\w./]+)[^`]*`/g;

/**
 * Finds paths below `src/` that pages of the documentation name and that do not exist.
 *
 * @param pages Files of the pages.
 * @returns The missing paths, in the order of the pages.
 *
 * @example
 * findMissingPaths(["docs/PROOFS.md"]); // => []
 */
export function findMissingPaths(pages: readonly string[]): readonly MissingPath[] {
    return pages.flatMap(page =>
        [...readFileSync(page, "utf8").matchAll(sourcePath)]
            .map(match => ({ page, path: match[1]! }))
            .filter(({ path }) => !existsSync(path))
    );
}
