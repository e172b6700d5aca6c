import type { Metrics } from "../../metrics/types/Metrics.js";

/** The metrics of connections to endpoints; those of owners may be left out. */
export type ConnectionMetrics =
    & Pick<Metrics, "countConnection">
    & Partial<Pick<Metrics, "countOpening" | "countEviction" | "countOpeningWait">>;
