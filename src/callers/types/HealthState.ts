/** State of an entry in its reply to a health check. */
export enum HealthState {
    Serving = "Serving",
    Stopping = "Stopping",
}
