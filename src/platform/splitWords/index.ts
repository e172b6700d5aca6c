/**
 * Splits a text at blanks into a number of fields; the last one extends to the end.
 *
 * @param text The text.
 * @param count The greatest number of fields.
 * @returns The fields, at most `count`.
 *
 * @example
 * splitWords("QUERY 7 READ 1a4", 3); // => ["QUERY", "7", "READ 1a4"]
 */
export function splitWords(text: string, count: number): string[] {
    const words: string[] = [];
    let start = 0;
    while (words.length < count - 1) {
        const blank = text.indexOf(" ", start);
        if (blank < 0) {
            break;
        }
        words.push(text.slice(start, blank));
        start = blank + 1;
    }
    words.push(text.slice(start));
    return words;
}
