/** Formats the source files as `dprint.json` says; with `--check`, only lists files that are not formatted and fails. */
import { createContext } from "@dprint/formatter";
import { readFileSync, writeFileSync } from "node:fs";
import { listSourceFiles } from "../src/tools/listSourceFiles/index.js";

const isCheck = process.argv.includes("--check");
const { typescript, plugins, ...general } = JSON.parse(readFileSync("dprint.json", "utf8")) as {
    readonly typescript: Record<string, string>;
    readonly plugins: readonly [string];
    readonly lineWidth: number;
    readonly indentWidth: number;
    readonly newLineKind: "lf";
};
const context = createContext(general);
context.addPlugin(readFileSync(plugins[0]), typescript);

const files = listSourceFiles();
let count = 0;
for (const file of files) {
    const text = readFileSync(file, "utf8");
    const formatted = context.formatText({ filePath: file, fileText: text });
    if (formatted !== text) {
        count += 1;
        console.log(file);
        if (!isCheck) {
            writeFileSync(file, formatted);
        }
    }
}
console.log(`${files.length} files, ${count} ${isCheck ? "not formatted" : "formatted"}`);
process.exit(isCheck && count > 0 ? 1 : 0);
