import type { ReadGuarantee } from "../../directory/types/ReadGuarantee.js";
import type { CallerStandIn } from "../../platform/standIns/types/CallerStandIn.js";
import type { UnansweredStatement } from "./UnansweredStatement.js";

/** An open session of a caller. */
export interface SoakSession {
    readonly name: string;
    /** Number of the VM that the caller is connected to. */
    readonly vm: number;
    /** Workspace of the caller; left out without workspaces. */
    readonly workspace?: string;
    readonly guarantee: ReadGuarantee;
    readonly caller: CallerStandIn;
    /** Names of the prepared read and write statement. */
    readonly prepared: { readonly read: string; readonly write: string; };
    /** Maximum pause of the caller before each further statement of a transaction, in milliseconds. */
    readonly maximumTransactionPauseMilliseconds: number;
    /** Called for each statement whose connection ended before its answer. */
    readonly onUnanswered: (statement: UnansweredStatement) => void;
}
