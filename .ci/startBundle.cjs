/** Runs the bundle with the V8 code cache that was written at build time; with `--compile`, writes that cache. */
const { existsSync, readFileSync, writeFileSync } = require("node:fs");
const { join } = require("node:path");
const { Script } = require("node:vm");

const bundleFile = join(__dirname, "bundle.cjs");
const codeFile = join(__dirname, "bundle.code");
const isCompiling = process.argv[2] === "--compile";
if (isCompiling) {
    // The code cache holds only functions that ran: `--version` runs the start-up code except for the services.
    process.argv[2] = "--version";
}
const source = readFileSync(bundleFile, "utf8").replace(/^#!.*/, "");
const script = new Script(`(function (require, module, exports, __filename, __dirname) {${source}\n})`, {
    filename: bundleFile,
    ...!isCompiling && existsSync(codeFile) ? { cachedData: readFileSync(codeFile) } : {},
});
const bundle = { exports: {} };
script.runInThisContext()(require, bundle, bundle.exports, bundleFile, __dirname);
if (isCompiling) {
    setImmediate(() => writeFileSync(codeFile, script.createCachedData()));
}
