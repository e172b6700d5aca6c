import type { PreparedNames } from "../types/PreparedNames.js";

const maximumNames = 10_000;
/** Most characters of all statements that have a name. */
const maximumCharacters = 4_194_304;

/**
 * Creates the mapping of prepared statements to their names on connections to endpoints.
 *
 * Names chosen by different callers collide; one generated name per content lets callers share connections.
 *
 * @returns The mapping, empty.
 *
 * @example
 * createPreparedNames().nameOf({ mode: AccessMode.Read, shape: "q2c" }); // => "p1"
 */
export function createPreparedNames(): PreparedNames {
    const names = new Map<string, string>();
    let generatedCount = 0;
    let characters = 0;
    return {
        nameOf: ({ mode, shape }) => {
            const key = `${mode} ${shape}`;
            const known = names.get(key);
            if (known !== undefined) {
                return known;
            }
            if (names.size >= maximumNames || characters + key.length > maximumCharacters) {
                // Generated names are never reused: a connection that still holds an old one cannot run a wrong statement.
                names.clear();
                characters = 0;
            }
            generatedCount += 1;
            const name = `p${generatedCount}`;
            names.set(key, name);
            characters += key.length;
            return name;
        },
    };
}
