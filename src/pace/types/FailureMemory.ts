/** Statements and failures of an endpoint, weighted by their age. */
export interface FailureMemory {
    /** Records a statement; a weight above 1 counts it as several. */
    record(isFailure: boolean, weight?: number): void;
    /** Weight of the failures. */
    failures(): number;
    /** Weight of all statements. */
    statements(): number;
    /** Share of failures, from 0 to 1; 0 without statements. */
    rate(): number;
    /** Share of failures if some more statements had been good, so that a few failures tell little. */
    cautiousRate(): number;
    clear(): void;
}
