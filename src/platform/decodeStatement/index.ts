import { AccessMode } from "../../statements/types/AccessMode.js";
import type { Statement } from "../../statements/types/Statement.js";
import { StatementKind } from "../../statements/types/StatementKind.js";
import { splitFields } from "../splitFields/index.js";

const modesByWord: Readonly<Record<string, AccessMode>> = { READ: AccessMode.Read, WRITE: AccessMode.Write };

/** Decodes the fields after a statement's keyword; returns undefined when they are invalid. */
type StatementDecoder = (text: string, fields: string) => Statement | undefined;

const decoders: Readonly<Record<string, StatementDecoder>> = {
    BEGIN: decodeBegin,
    COMMIT: (text, fields) => fields === "" ? { kind: StatementKind.Commit, text } : undefined,
    ROLLBACK: (text, fields) => fields === "" ? { kind: StatementKind.Rollback, text } : undefined,
    READ: (text, fields) => fields === "" ? undefined : { kind: StatementKind.Read, text },
    WRITE: (text, fields) => splitFields(fields, 2).length === 2 ? { kind: StatementKind.Write, text } : undefined,
    SET: decodeSet,
    PARSE: decodePrepare,
    EXECUTE: decodeExecute,
    CLOSE: (text, name) => name === "" ? undefined : { kind: StatementKind.ClosePrepared, text, name },
};

/**
 * Decodes the text of a caller's statement.
 *
 * @param text The text as the caller sent it.
 * @returns The statement; of kind `Unreadable` when the text is not a valid statement.
 *
 * @example
 * decodeStatement("BEGIN READ"); // => { kind: StatementKind.Begin, text: "BEGIN READ", isReadOnly: true }
 */
export function decodeStatement(text: string): Statement {
    const [word, fields = ""] = splitFields(text, 2) as [string, string?];
    const decode = Object.hasOwn(decoders, word) ? decoders[word] : undefined;
    return decode?.(text, fields) ?? { kind: StatementKind.Unreadable, text };
}

function decodeBegin(text: string, fields: string): Statement | undefined {
    if (fields !== "" && fields !== "READ") {
        return undefined;
    }
    return { kind: StatementKind.Begin, text, isReadOnly: fields === "READ" };
}

function decodeSet(text: string, fields: string): Statement | undefined {
    const [name, value] = splitFields(fields, 2);
    return name === undefined || name === "" || value === undefined
        ? undefined
        : { kind: StatementKind.SetValue, text, name, value };
}

function decodePrepare(text: string, fields: string): Statement | undefined {
    const [name, modeWord = "", shape] = splitFields(fields, 3);
    const mode = Object.hasOwn(modesByWord, modeWord) ? modesByWord[modeWord] : undefined;
    return name === undefined || name === "" || mode === undefined || shape === undefined
        ? undefined
        : { kind: StatementKind.Prepare, text, name, mode, shape };
}

function decodeExecute(text: string, fields: string): Statement | undefined {
    const [name, remainder] = splitFields(fields, 2);
    return name === undefined || name === "" || remainder === undefined
        ? undefined
        : { kind: StatementKind.Execute, text, name, remainder };
}
