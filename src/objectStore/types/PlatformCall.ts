/** One HTTP call to the platform. */
export interface PlatformCall {
    readonly method: "GET" | "PUT";
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    /** Content to write, as JSON text. */
    readonly body?: string;
}
