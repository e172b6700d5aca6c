/**
 * Reads the text of an option from the raw command line, because the parser converts `007` to a number.
 *
 * @param commandLineArguments Arguments of the command line.
 * @param name The option, with its hyphens.
 * @returns The text, or undefined when the option is not given.
 *
 * @example
 * readTextOption(["--id", "007"], "--id"); // "007"
 */
export function readTextOption(commandLineArguments: readonly string[], name: string): string | undefined {
    for (const [index, argument] of commandLineArguments.entries()) {
        if (argument === name) {
            return commandLineArguments[index + 1];
        }
        if (argument.startsWith(`${name}=`)) {
            return argument.slice(name.length + 1);
        }
    }
    return undefined;
}
