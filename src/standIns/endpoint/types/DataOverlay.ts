import type { EndpointData } from "./EndpointData.js";
import type { LogOperation } from "./LogOperation.js";

/** Changes that are not yet in the log, overlaid on the data. */
export interface DataOverlay extends EndpointData {
    writeRegister(register: string, value: unknown): void;
    appendToList(list: string, value: unknown): void;
    /** The changes so far, in order. */
    readonly operations: readonly LogOperation[];
}
