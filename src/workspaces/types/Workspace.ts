import type { Quota } from "./Quota.js";

/** A customer whose callers identify themselves with keys. */
export interface Workspace {
    readonly name: string;
    /** Digests of the keys that callers may use; the keys themselves are kept nowhere. */
    readonly keyDigests: readonly string[];
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Left out when the workspace has no limit. */
    readonly quota?: Quota;
}
