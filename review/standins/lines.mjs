/** Splits a byte stream into messages of the wire protocol: a line ends with CR LF, and with nothing else. */
export function createLineReader(onLine) {
    let pending = Buffer.alloc(0);
    return chunk => {
        pending = pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
        for (let end = pending.indexOf("\r\n"); end >= 0; end = pending.indexOf("\r\n")) {
            const line = pending.subarray(0, end).toString("latin1");
            pending = pending.subarray(end + 2);
            onLine(line);
        }
    };
}

/** Splits a text at single blanks into at most `count` fields; the last field extends to the end. */
export function splitFields(text, count) {
    const fields = [];
    let rest = text;
    while (fields.length < count - 1 && rest.includes(" ")) {
        const blank = rest.indexOf(" ");
        fields.push(rest.slice(0, blank));
        rest = rest.slice(blank + 1);
    }
    fields.push(rest);
    return fields;
}
