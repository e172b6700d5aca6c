import { AccessMode } from "../../../statements/types/AccessMode.js";
import type { LogPosition } from "../../../statements/types/LogPosition.js";
import { OutgoingKind } from "../../../statements/types/OutgoingKind.js";
import type { OutgoingStatement } from "../../../statements/types/OutgoingStatement.js";
import { StatementKind } from "../../../statements/types/StatementKind.js";
import { decodeStatement } from "../../decodeStatement/index.js";
import { parsePosition } from "../../parsePosition/index.js";
import { splitFields } from "../../splitFields/index.js";

/** Decodes a statement that the proxy issued itself, from the fields after its keyword. */
type ProxyStatementDecoder = (fields: string, leastPosition: LogPosition | undefined) => OutgoingStatement;

const proxyStatementDecoders: Readonly<Record<string, ProxyStatementDecoder>> = {
    BEGIN: (fields, leastPosition) => ({ kind: OutgoingKind.Begin, isReadOnly: fields === "READ", leastPosition }),
    ROLLBACK: () => ({ kind: OutgoingKind.Rollback }),
    DISCARD: () => ({ kind: OutgoingKind.Discard }),
    STATUS: () => ({ kind: OutgoingKind.ReadStatus }),
    SET: fields => {
        const [name = "", value = ""] = splitFields(fields, 2);
        return { kind: OutgoingKind.SetValue, name, value };
    },
    PARSE: fields => {
        const [name = "", mode, shape = ""] = splitFields(fields, 3);
        return {
            kind: OutgoingKind.Prepare,
            name,
            mode: mode === "WRITE" ? AccessMode.Write : AccessMode.Read,
            shape,
        };
    },
    PAUSE: term => ({ kind: OutgoingKind.PauseReplication, term: Number(term) }),
    RESUME: () => ({ kind: OutgoingKind.ResumeReplication }),
    STEPDOWN: term => ({ kind: OutgoingKind.StepDown, term: Number(term) }),
};

/**
 * Decodes a statement that an endpoint received; the inverse of `encodeOutgoing`.
 *
 * @param id Id of the statement.
 * @param line Text of the statement, with the prefix `AFTERLSN` if the statement requires a log position.
 * @returns The statement; undefined when the text is not a valid statement.
 *
 * @example
 * decodeOutgoing("-", "STEPDOWN 4"); // => { kind: OutgoingKind.StepDown, term: 4 }
 */
export function decodeOutgoing(id: string, line: string): OutgoingStatement | undefined {
    const [first, positionText = "", rest = ""] = splitFields(line, 3);
    const isPrefixed = first === "AFTERLSN";
    const leastPosition = isPrefixed ? parsePosition(positionText) : undefined;
    const text = isPrefixed ? rest : line;
    if (id === "-") {
        const [word = "", fields = ""] = splitFields(text, 2);
        return proxyStatementDecoders[word]?.(fields, leastPosition);
    }
    const statement = decodeStatement(text);
    if (statement.kind === StatementKind.Unreadable) {
        return undefined;
    }
    return statement.kind === StatementKind.Execute
        ? {
            kind: OutgoingKind.ForwardedExecution,
            id,
            name: statement.name,
            remainder: statement.remainder,
            leastPosition,
        }
        : { kind: OutgoingKind.Forwarded, id, text, leastPosition };
}
