/**
 * Counts the lines of a TypeScript text that are neither blank nor comments.
 *
 * @param text The text of the file.
 * @returns Number of lines.
 *
 * @example
 * countCodeLines("// A comment.\nconst a = 1;\n"); // 1
 */
export function countCodeLines(text: string): number {
    let isInComment = false;
    let count = 0;
    for (const line of text.split("\n").map(untrimmed => untrimmed.trim())) {
        const startsComment = line.startsWith("/*");
        if (!isInComment && !startsComment && line !== "" && !line.startsWith("//")) {
            count += 1;
        }
        isInComment = (isInComment || startsComment) && !line.includes("*/");
    }
    return count;
}
