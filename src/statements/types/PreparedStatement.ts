import type { AccessMode } from "./AccessMode.js";

/** What a caller prepared under a name. */
export interface PreparedStatement {
    readonly mode: AccessMode;
    readonly shape: string;
}
