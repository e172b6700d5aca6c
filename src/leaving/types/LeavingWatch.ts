/** Publishes to all gateways which endpoints are leaving. */
export interface LeavingWatch {
    start(): Promise<void>;
    stop(): Promise<void>;
}
