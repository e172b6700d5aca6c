/** Whether an operation of a workspace may be started. */
export type QuotaDecision =
    | {
        readonly isAdmitted: true;
        /** Returns the operation to the quota because it was not run; only the first call counts. */
        readonly refund: () => void;
    }
    | {
        readonly isAdmitted: false;
        /** Time after which another attempt is likely to be admitted, in milliseconds. */
        readonly retryAfterMilliseconds: number;
    };
