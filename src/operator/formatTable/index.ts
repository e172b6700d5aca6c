/**
 * Formats rows as a table with aligned columns.
 *
 * @param header Column heads.
 * @param rows Cells of each row.
 * @returns One line for the header and one for each row.
 *
 * @example
 * formatTable(["DATABASE", "TERM"], [["stock", "4"]]);
 */
export function formatTable(header: readonly string[], rows: readonly (readonly string[])[]): string[] {
    const lines = [header, ...rows];
    const widths = header.map((_title, column) => Math.max(...lines.map(line => (line[column] ?? "").length)));
    return lines.map(line => line.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ").trimEnd());
}
