/** What a health check is told. */
export enum HealthState {
    Serving = "Serving",
    Stopping = "Stopping",
}
