/**
 * Splits a text at single spaces into at most `count` fields; the last field is the rest of the text.
 *
 * @param text The text.
 * @param count The largest number of fields.
 * @returns The fields.
 *
 * @example
 * splitFields("QUERY 7 READ 1a4", 3); // => ["QUERY", "7", "READ 1a4"]
 */
export function splitFields(text: string, count: number): string[] {
    const fields: string[] = [];
    let start = 0;
    while (fields.length < count - 1) {
        const spaceIndex = text.indexOf(" ", start);
        if (spaceIndex < 0) {
            break;
        }
        fields.push(text.slice(start, spaceIndex));
        start = spaceIndex + 1;
    }
    fields.push(text.slice(start));
    return fields;
}
