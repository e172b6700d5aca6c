import { AccessMode } from "../../statements/types/AccessMode.js";
import type { LogPosition } from "../../statements/types/LogPosition.js";
import { OutgoingKind } from "../../statements/types/OutgoingKind.js";
import type { OutgoingStatement } from "../../statements/types/OutgoingStatement.js";
import { platformConstants } from "../constants.js";
import { formatPosition } from "../formatPosition/index.js";

/** Encodes the text of one kind of statement. */
type TextEncoder<Kind extends OutgoingKind> = (
    statement: Extract<OutgoingStatement, { readonly kind: Kind; }>,
) => string;

const modeWords: Readonly<Record<AccessMode, string>> = { [AccessMode.Read]: "READ", [AccessMode.Write]: "WRITE" };

const encoders: { readonly [Kind in OutgoingKind]: TextEncoder<Kind>; } = {
    [OutgoingKind.Forwarded]: ({ text, leastPosition }) => `${formatLeastPosition(leastPosition)}${text}`,
    [OutgoingKind.ForwardedExecution]: ({ name, remainder, leastPosition }) =>
        `${formatLeastPosition(leastPosition)}EXECUTE ${name} ${remainder}`,
    [OutgoingKind.Begin]: ({ isReadOnly, leastPosition }) =>
        `${formatLeastPosition(leastPosition)}${isReadOnly ? "BEGIN READ" : "BEGIN"}`,
    [OutgoingKind.Rollback]: () => "ROLLBACK",
    [OutgoingKind.Discard]: () => "DISCARD",
    [OutgoingKind.ReadStatus]: () => "STATUS",
    [OutgoingKind.SetValue]: ({ name, value }) => `SET ${name} ${value}`,
    [OutgoingKind.Prepare]: ({ name, mode, shape }) => `PARSE ${name} ${modeWords[mode]} ${shape}`,
    [OutgoingKind.PauseReplication]: ({ term }) => `PAUSE ${term}`,
    [OutgoingKind.ResumeReplication]: () => "RESUME",
    [OutgoingKind.StepDown]: ({ term }) => `STEPDOWN ${term}`,
};

/**
 * Encodes a statement for an endpoint as one line.
 *
 * @param statement The statement.
 * @returns The line with its CR LF.
 *
 * @example
 * encodeOutgoing({ kind: OutgoingKind.Rollback }); // => "QUERY - ROLLBACK\r\n"
 */
export function encodeOutgoing(statement: OutgoingStatement): string {
    const encode = encoders[statement.kind] as (statement: OutgoingStatement) => string;
    const id = "id" in statement ? statement.id : platformConstants.proxyStatementId;
    return `QUERY ${id} ${encode(statement)}\r\n`;
}

function formatLeastPosition(leastPosition: LogPosition | undefined): string {
    return leastPosition === undefined ? "" : `AFTERLSN ${formatPosition(leastPosition)} `;
}
