import type { RequestKind } from "../../messages/types/RequestKind.js";

/** A caller's single-statement request, validated and authenticated. */
export interface CallerRequest {
    readonly requestId: string;
    readonly caller: string;
    readonly database: string;
    readonly kind: RequestKind;
    readonly statement: unknown;
    readonly sessionToken?: string;
    /** The session has neither read nor written yet. */
    readonly isNewSession?: boolean;
    readonly requestKey?: string;
    readonly maximumAgeMilliseconds?: number;
    readonly deadlineMilliseconds: number;
}
