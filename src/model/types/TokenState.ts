import type { TokenRecord } from "./TokenRecord.js";

/** A state of the model of fencing tokens: two VMs, their record in a store, and a copy of the store. */
export interface TokenState {
    readonly era: number;
    /** Revision of the last change of the store. */
    readonly revision: number;
    readonly record: TokenRecord;
    readonly copy: Pick<TokenState, "record" | "revision">;
    /** Writes under way: what each VM read when it sent one. A write takes effect while the record has that revision. */
    readonly writes: readonly (TokenRecord | undefined)[];
    /** Token of the last order, and the VM that sent it. */
    readonly lastOrder: { readonly token: number; readonly holder: number; };
    /** Whether an order carried the token of another VM, or a lower one than the order before. */
    readonly isViolated: boolean;
}
