/**
 * Runs the bundle with the V8 code cache that was written at build time. With `--compile`, writes that cache: after the
 * signal SIGUSR2 when there are settings to run with, otherwise after `--version`.
 */
// The signal that the settings have changed ends a process without a listener, and loading the program takes a while.
process.on("SIGHUP", () => {});
const { existsSync, readFileSync, writeFileSync } = require("node:fs");
const { join } = require("node:path");
const { Script } = require("node:vm");

const bundleFile = join(__dirname, "bundle.cjs");
const codeFile = join(__dirname, "bundle.code");
const isCompiling = process.argv[2] === "--compile";
const isWarmingUp = isCompiling && process.env.TARRAGONPOST_SETTINGS !== undefined;
if (isCompiling) {
    process.argv.splice(2, 1, ...isWarmingUp ? [] : ["--version"]);
}
const source = readFileSync(bundleFile, "utf8").replace(/^#!.*/, "");
const script = new Script(`(function (require, module, exports, __filename, __dirname) {${source}\n})`, {
    filename: bundleFile,
    ...!isCompiling && existsSync(codeFile) ? { cachedData: readFileSync(codeFile) } : {},
});
// The code cache holds only functions that have run.
const writeCodeCache = () => writeFileSync(codeFile, script.createCachedData());
if (isWarmingUp) {
    process.once("SIGUSR2", () => {
        writeCodeCache();
        process.exit(0);
    });
}
const bundle = { exports: {} };
script.runInThisContext()(require, bundle, bundle.exports, bundleFile, __dirname);
if (isCompiling && !isWarmingUp) {
    setImmediate(writeCodeCache);
}
