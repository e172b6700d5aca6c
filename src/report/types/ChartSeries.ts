/** One line of a chart. */
export interface ChartSeries {
    readonly name: string;
    readonly color: string;
    readonly points: readonly { readonly x: number; readonly y: number; }[];
}
