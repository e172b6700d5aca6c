/**
 * Reads an option's text as it was typed, where the parser would turn `007` into a number.
 *
 * @param words The words of the command line.
 * @param name The option, with its hyphens.
 * @returns The text, or undefined when the option is not given.
 *
 * @example
 * readTextOption(["--id", "007"], "--id"); // "007"
 */
export function readTextOption(words: readonly string[], name: string): string | undefined {
    for (const [index, word] of words.entries()) {
        if (word === name) {
            return words[index + 1];
        }
        if (word.startsWith(`${name}=`)) {
            return word.slice(name.length + 1);
        }
    }
    return undefined;
}
