/** Lines of code by kind. Blank lines and comments are not counted. */
export interface CodeShape {
    readonly allLines: number;
    readonly testLines: number;
    readonly decisionLines: number;
    /** Files that exceed the maximum length, with their length. */
    readonly longFiles: readonly string[];
}
