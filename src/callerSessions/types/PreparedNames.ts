import type { PreparedStatement } from "../../statements/types/PreparedStatement.js";

/** Names that prepared statements have on connections to endpoints. */
export interface PreparedNames {
    /** The name for a prepared statement; the same for the same content, whatever callers name it. */
    nameOf(prepared: PreparedStatement): string;
}
