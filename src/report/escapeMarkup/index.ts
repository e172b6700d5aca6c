const replacements: Readonly<Record<string, string>> = { "&": "&amp;", "<": "&lt;", ">": "&gt;", "\"": "&quot;" };

/**
 * Escapes text for HTML and SVG.
 *
 * @param text Any text.
 * @returns The text with its markup characters escaped.
 *
 * @example
 * escapeMarkup("a < b"); // "a &lt; b"
 */
export function escapeMarkup(text: string): string {
    return text.replaceAll(/[&<>"]/g, character => replacements[character] ?? character);
}
