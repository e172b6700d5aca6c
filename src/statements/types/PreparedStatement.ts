import type { AccessMode } from "./AccessMode.js";

/** A statement that a caller prepared under a name. */
export interface PreparedStatement {
    readonly mode: AccessMode;
    readonly shape: string;
}
