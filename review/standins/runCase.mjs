/** Runs a case within its time limit and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. */
import { createRecord } from "./record.mjs";

const limitMs = 110_000;

export async function runCase(folder, run) {
    const record = createRecord(new URL("record.txt", folder));
    const hasTrouble = process.env.TROUBLE !== "0";
    const cleanups = [];
    const cleanUp = async () => {
        for (const clean of cleanups.splice(0).reverse()) {
            await clean();
        }
    };
    const finish = async (code, text) => {
        record.write("result", { code, text });
        console.log(text);
        await cleanUp();
        record.close();
        process.exit(code);
    };
    const timer = setTimeout(() => void finish(2, "the case did not end in time"), limitMs);
    for (const signal of ["SIGTERM", "SIGINT"]) {
        process.once(signal, () => void finish(2, `ended by ${signal}`));
    }
    record.write("start", { hasTrouble });
    try {
        const violations = await run({ record, hasTrouble, onEnd: clean => cleanups.push(clean) });
        violations.slice(0, 20).forEach(violation => record.write("violation", violation));
        clearTimeout(timer);
        await finish(violations.length > 0 ? 1 : 0, violations.length > 0 ? `the rule was broken ${violations.length} times` : "the rule held");
    }
    catch (error) {
        clearTimeout(timer);
        await finish(2, `the case could not run: ${error.stack}`);
    }
}
