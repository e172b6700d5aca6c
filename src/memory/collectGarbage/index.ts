import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

let collect: (() => void) | undefined;

/**
 * Collects garbage now. The runtime's function for it is looked up at the first call, because the flag that offers it
 * makes the runtime reject code that was cached without it.
 *
 * @example
 * collectGarbage();
 */
export function collectGarbage(): void {
    if (collect === undefined) {
        setFlagsFromString("--expose-gc");
        collect = runInNewContext("gc") as () => void;
    }
    collect();
}
