/** The platform's answer to a call. */
export interface PlatformAnswer {
    readonly status: number;
    readonly content: unknown;
}
