/**
 * Splits a text into parts of limited length, never inside a surrogate pair.
 *
 * @param text The text.
 * @param maximumCharacters Maximum length of a part, in UTF-16 code units; at least 2.
 * @returns The parts in order; one empty part for an empty text.
 *
 * @example
 * splitText("abcde", 2); // ["ab", "cd", "e"]
 */
export function splitText(text: string, maximumCharacters: number): string[] {
    const parts: string[] = [];
    for (let start = 0; start < text.length || parts.length === 0;) {
        let end = Math.min(start + maximumCharacters, text.length);
        const lastUnit = text.charCodeAt(end - 1);
        if (end < text.length && lastUnit >= 0xd800 && lastUnit < 0xdc00) {
            end -= 1;
        }
        parts.push(text.slice(start, end));
        start = end;
    }
    return parts;
}
