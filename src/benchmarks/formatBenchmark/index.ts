import type { BenchmarkReport } from "../types/BenchmarkReport.js";

/**
 * Formats the report of a benchmark as a table with a line for each arrangement and a column for each figure.
 *
 * @param report The report.
 * @returns Lines of text, each with its line end.
 *
 * @example
 * process.stdout.write(formatBenchmark(report));
 */
export function formatBenchmark(report: BenchmarkReport): string {
    const columns = [...new Set(report.rows.flatMap(row => Object.keys(row.figures)))];
    const lines = report.rows.map(row => [
        row.isBaseline ? `${row.arrangement} (baseline)` : row.arrangement,
        ...columns.map(column => formatFigure(row.figures[column])),
    ]);
    const table = [["arrangement", ...columns], ...lines];
    const widths = table[0]?.map((_, column) => Math.max(...table.map(line => line[column]?.length ?? 0))) ?? [];
    const formatted = table.map(line =>
        line.map((cell, column) => column === 0 ? cell.padEnd(widths[0] ?? 0) : cell.padStart(widths[column] ?? 0))
            .join("  ")
    );
    const sizes = Object.entries(report.sizes).map(([name, value]) => `${name} ${value}`).join(", ");
    return [`${report.name}: seed ${report.seed}, ${sizes}`, ...formatted, ...report.remarks ?? [], ""].join("\n");
}

function formatFigure(value: number | undefined): string {
    if (value === undefined) {
        return "";
    }
    return Number.isInteger(value) ? String(value) : value.toFixed(2);
}
