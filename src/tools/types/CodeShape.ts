/** How the lines of code are spread. Blank lines and comments are not counted. */
export interface CodeShape {
    readonly allLines: number;
    readonly testLines: number;
    readonly decisionLines: number;
    /** Files that are too long, with their length. */
    readonly longFiles: readonly string[];
}
