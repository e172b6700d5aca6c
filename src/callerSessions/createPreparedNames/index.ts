import type { PreparedNames } from "../types/PreparedNames.js";

const rememberedNames = 10_000;

/**
 * Creates the names that prepared statements have on connections to endpoints.
 *
 * Callers' names collide; a name of our own for each content lets callers share connections.
 *
 * @returns The names, none given yet.
 *
 * @example
 * createPreparedNames().nameOf({ mode: AccessMode.Read, shape: "q2c" }); // => "p1"
 */
export function createPreparedNames(): PreparedNames {
    const names = new Map<string, string>();
    let given = 0;
    return {
        nameOf: ({ mode, shape }) => {
            const key = `${mode} ${shape}`;
            const known = names.get(key);
            if (known !== undefined) {
                return known;
            }
            if (names.size >= rememberedNames) {
                // A name is never given twice, so connections that hold an old one are not misled.
                names.clear();
            }
            given += 1;
            const name = `p${given}`;
            names.set(key, name);
            return name;
        },
    };
}
