import type { PreparedStatement } from "../../statements/types/PreparedStatement.js";

/** Maps prepared statements to their names on connections to endpoints. */
export interface PreparedNames {
    /** The name of a prepared statement; equal for equal content, whichever names callers use. */
    nameOf(prepared: PreparedStatement): string;
}
