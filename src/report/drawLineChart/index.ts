import { reportConstants } from "../constants.js";
import { escapeMarkup } from "../escapeMarkup/index.js";
import type { ChartSeries } from "../types/ChartSeries.js";

/** Options of `drawLineChart`. */
interface DrawLineChartOptions {
    readonly title: string;
    /** Length of the run in seconds. */
    readonly seconds: number;
    /** Vertical lines with a label, for example faults. */
    readonly marks: readonly { readonly seconds: number; readonly text: string; }[];
}

/**
 * Draws a line chart over the time of a run as inline SVG.
 *
 * @param series The lines; x is in seconds.
 * @param options Title, length of the run in seconds, and labelled vertical lines.
 * @returns An SVG element.
 *
 * @example
 * const svg = drawLineChart([{ name: "p50", color: "#1b6", points }], { title: "Latency in ms", seconds, marks: [] });
 */
export function drawLineChart(series: readonly ChartSeries[], options: DrawLineChartOptions): string {
    const { chartWidthPixels: width, chartHeightPixels: height, marginPixels: margin, gridLines } = reportConstants;
    const highest = Math.max(1, ...series.flatMap(line => line.points.map(point => point.y)));
    const toX = (x: number): string => (margin + x / options.seconds * (width - 2 * margin)).toFixed(1);
    const toY = (y: number): string => (height - margin - y / highest * (height - 2 * margin)).toFixed(1);
    const grid = Array.from({ length: gridLines + 1 }, (_, index) => index * highest / gridLines).map(value =>
        `<line class="grid" x1="${margin}" x2="${width - margin}" y1="${toY(value)}" y2="${toY(value)}"/>`
        + `<text x="${margin - 6}" y="${toY(value)}" text-anchor="end">${value.toFixed(value < 10 ? 1 : 0)}</text>`
    );
    const lines = series.map(({ color, points }) =>
        `<polyline fill="none" stroke="${color}" points="${
            points.map(({ x, y }) => `${toX(x)},${toY(y)}`).join(" ")
        }"/>`
    );
    const marks = options.marks.map(mark =>
        `<line class="mark" x1="${toX(mark.seconds)}" x2="${toX(mark.seconds)}" y1="${margin}" y2="${
            height - margin
        }"/>`
        + `<text x="${toX(mark.seconds)}" y="${margin - 6}">${escapeMarkup(mark.text)}</text>`
    );
    const legend = series.map(({ name, color }, index) =>
        `<text x="${margin + index * 120}" y="${height - 12}" fill="${color}">${escapeMarkup(name)}</text>`
    );
    const endLabel = `<text x="${width - margin}" y="${height - 12}" text-anchor="end">${
        options.seconds.toFixed(1)
    } s</text>`;
    return [
        `<svg viewBox="0 0 ${width} ${height}" role="img">`,
        `<text class="title" x="${margin}" y="16">${escapeMarkup(options.title)}</text>`,
        ...grid,
        ...lines,
        ...marks,
        ...legend,
        endLabel,
        "</svg>",
    ].join("\n");
}
